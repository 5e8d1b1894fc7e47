/** Addresses of sockets, checked where they are decoded. */
export {
  formatSocketAddress,
  parseHostPort,
  parseSocketAddress,
  socketAddress,
  splitSocketAddress,
  type HostPort,
  type SocketAddress,
} from './socket-address.js';
