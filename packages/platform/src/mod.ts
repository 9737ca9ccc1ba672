/**
 * Client of the platform: its table service, its object store and its list of machines.
 *
 * ```ts
 * import { createStorePlatform } from '@bilberryworks/platform'
 *
 * await using platform = createStorePlatform('http://127.0.0.1:8080')
 * const row = await platform.readRow('documents', 'lunchbox-api')
 * ```
 *
 * @module
 */
export * from './load_client_blocks.ts'
export * from './memory_platform.ts'
export * from './platform.ts'
export * from './store_platform.ts'
export * from './tables.ts'
