/** Addresses of sockets, checked where they are decoded, and the binding of sockets to them. */
export { bindError, type BindError } from './bind-error.js';
export { AddressBinder, type AddressBinderOptions, type ListenError } from './address-binder.js';
export { bindWhenFree, type BindRetryOptions } from './bind-retry.js';
export { descriptorLimit } from './descriptor-limit.js';
export { listen } from './listen.js';
export { logServerErrors } from './server-errors.js';
export {
  formatSocketAddress,
  parseHostPort,
  parseSocketAddress,
  socketAddress,
  splitSocketAddress,
  type HostPort,
  type SocketAddress,
} from './socket-address.js';
