/**
 * The HTTP interface for callers: validates requests, streams responses, and states in each refusal whether the request
 * may have run.
 *
 * ```ts
 * import { createServiceHandler } from '@bilberryworks/callers'
 * ```
 *
 * @module
 */
export * from './bodiless_requests.ts'
export * from './body_guard.ts'
export * from './client_errors.ts'
export * from './close_listener.ts'
export * from './graceful_close.ts'
export * from './header_fields.ts'
export * from './open_requests.ts'
export * from './parse_request.ts'
export * from './pipeline_scheduler.ts'
export * from './read_turns.ts'
export * from './run_after_reads.ts'
export * from './service_handler.ts'
export * from './stop_reading.ts'
export * from './watch_response.ts'
export * from './write_response.ts'
