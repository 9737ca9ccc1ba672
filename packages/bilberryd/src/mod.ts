/**
 * The components of `bilberryd` that tests and simulations import.
 *
 * ```ts
 * import { parseSettings } from 'bilberryd'
 * ```
 *
 * @module
 */
export * from './client_blocks.ts'
export * from './edge/entry_components.ts'
export * from './edge/entry_log.ts'
export * from './edge/entry_metrics.ts'
export * from './edge/look_up_listener.ts'
export * from './edge/peer_view.ts'
export * from './edge/replicated_table.ts'
export * from './edge/request_handler.ts'
export * from './edge/run_entry.ts'
export * from './edge/target_reports.ts'
export * from './edge/target_selector.ts'
export * from './idempotency_handler.ts'
export * from './regions.ts'
export * from './run_instance.ts'
export * from './settings.ts'
export * from './sync.ts'
export * from './cluster_view.ts'
