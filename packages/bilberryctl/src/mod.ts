/**
 * The library behind `bilberryctl`: a client of the operators' interface, document files, and output.
 *
 * ```ts
 * import { applyDocument, createApiClient } from 'bilberryctl'
 * ```
 *
 * @module
 */
export * from './api_client.ts'
export * from './apply_document.ts'
export * from './exit_status.ts'
export * from './log_lines.ts'
export * from './read_document.ts'
export * from './render.ts'
