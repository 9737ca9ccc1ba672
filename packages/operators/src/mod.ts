/**
 * The operators: documents, their history and the state of the system.
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
