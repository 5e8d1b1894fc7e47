/** Load and experiment tool. */
export { main } from './main.js';
