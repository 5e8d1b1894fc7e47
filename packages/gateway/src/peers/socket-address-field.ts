import { parseSocketAddress, type SocketAddress } from '@canvasridge/addresses';
import * as z from 'zod';

/** An address in a message of a peer. */
export const socketAddressField = z.custom<SocketAddress>(
  (value) => typeof value === 'string' && parseSocketAddress(value) !== undefined,
  'expected "IP:port"',
);
