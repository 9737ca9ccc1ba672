/**
 * The parts of `bilberryd`, for tests and stand-ins.
 *
 * ```ts
 * import { parseSettings } from 'bilberryd'
 * ```
 *
 * @module
 */
export * from './client_blocks.ts'
export * from './edge/entry_log.ts'
export * from './edge/run_entry.ts'
export * from './key_keeper.ts'
export * from './regions.ts'
export * from './run_instance.ts'
export * from './settings.ts'
export * from './sync.ts'
export * from './view.ts'
