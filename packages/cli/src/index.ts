/** Parts of the operator command line that other packages use. */
export { renderTimeline } from './timeline-page.js';
