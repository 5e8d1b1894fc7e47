import type { ConfigurationFollower } from '@canvasridge/configuration';
import type { PeerRpcServer } from '@canvasridge/membership';
import { grantParams, releaseParams, ungrantParams, type OwnershipManager } from '@canvasridge/ownership';
import * as z from 'zod';
import { keyOutcomeParams, transferKeyParams, type KeyProtocol } from './requests/key-protocol.js';
import { acquireLoadParams, finishLoadParams, type LoadGrants } from './scheduling/load-grants.js';

/** The components that implement the peer methods. */
export interface PeerMethodOwners {
  readonly ownership: OwnershipManager;
  readonly follower: ConfigurationFollower;
  readonly grants: LoadGrants;
  readonly keys: KeyProtocol;
}

/** Registers all JSON-RPC methods that peers may call, each with the schema of its parameters. */
export function registerPeerMethods(rpc: PeerRpcServer, owners: PeerMethodOwners): void {
  const { ownership, follower, grants, keys } = owners;
  rpc.register('ownership.release', releaseParams, (params) => ownership.handleRelease(params));
  rpc.register('ownership.grant', grantParams, (params) => ownership.handleGrant(params));
  rpc.register('ownership.ungrant', ungrantParams, (params) => ownership.handleUngrant(params));
  rpc.register('weights.acquire', acquireLoadParams, (params) => grants.handleAcquire(params));
  rpc.register('weights.finish', finishLoadParams, (params) => grants.handleFinish(params));
  rpc.register('keys.transfer', transferKeyParams, (params) => keys.handleTransfer(params));
  rpc.register('keys.outcome', keyOutcomeParams, (params) => keys.handleOutcome(params));
  rpc.register('configuration.head', z.object({}), () => ({
    head: follower.store.head ?? null,
    sourceVersion: follower.store.sourceVersion,
  }));
  rpc.register('configuration.chunk', z.object({ sha256: z.string() }), ({ sha256 }) => ({
    text: follower.store.chunk(sha256) ?? null,
  }));
}
