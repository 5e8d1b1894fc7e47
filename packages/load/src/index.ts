/** Load, fault-injection and benchmark tool. */
export { main } from './main.js';
