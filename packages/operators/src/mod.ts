/**
 * The operators' interface: service documents with their history, and the status of the system.
 *
 * ```ts
 * import { submitDocument } from '@bilberryworks/operators'
 * ```
 *
 * @module
 */
export * from './operators_service.ts'
export * from './read_history.ts'
export * from './submit_document.ts'
export * from './tokens.ts'
export * from './publish_client_blocks.ts'
