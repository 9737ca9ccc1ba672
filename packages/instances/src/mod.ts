/**
 * Communication between instances: JSON-RPC 2.0 calls for control traffic, and streamed forwarding of callers' requests.
 *
 * ```ts
 * import { createHttpPeers } from '@bilberryworks/instances'
 *
 * await using peers = createHttpPeers({ getKey: () => 'secret' })
 * const reply = await peers.call('127.0.0.1:7001', 'inventory.exchange', { params: {} })
 * ```
 *
 * @module
 */
export * from './http_peers.ts'
export * from './peer_listener.ts'
export * from './peers.ts'
