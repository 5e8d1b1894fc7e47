/** Parts of the operators' command line that other tools use. */
export { renderTimeline } from './timeline-picture.js';
