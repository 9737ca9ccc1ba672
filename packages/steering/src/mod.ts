/**
 * Pure decisions and the types that all packages share.
 *
 * Nothing here reads a clock, opens a socket or keeps hidden state: time and randomness are arguments.
 *
 * ```ts
 * import { rankByRendezvous } from '@bilberryworks/steering'
 *
 * rankByRendezvous('192.0.2.7', { sofia: 0.5, varna: 0.5 })
 * ```
 *
 * @module
 */
export * from './admission.ts'
export * from './check_document.ts'
export * from './detach_body.ts'
export * from './diff_documents.ts'
export * from './document.ts'
export * from './document_access.ts'
export * from './entries.ts'
export * from './inventory.ts'
export * from './key_memory.ts'
export * from './membership.ts'
export * from './outcomes.ts'
export * from './pin.ts'
export * from './refusal.ts'
export * from './retry_budget.ts'
export * from './rendezvous.ts'
export * from './shift.ts'
export * from './slots.ts'
export * from './target_words.ts'
export * from './weight_walk.ts'
export * from './request_class.ts'
export * from './request.ts'
export * from './feed_plan.ts'
export * from './feeds.ts'
