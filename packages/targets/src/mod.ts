/**
 * Clients that send requests to targets over HTTP/1.1.
 *
 * ```ts
 * import { createHttpTargets } from '@bilberryworks/targets'
 *
 * await using targets = createHttpTargets({ connectionsPerTarget: 8 })
 * ```
 *
 * @module
 */
export * from './check_listening.ts'
export * from './response_pacer.ts'
export * from './response_parser.ts'
export * from './http_targets.ts'
export * from './malformed_response.ts'
export * from './target_connection.ts'
export * from './target_pool.ts'
export * from './targets.ts'
