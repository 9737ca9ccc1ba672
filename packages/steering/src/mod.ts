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
export * from './byte_budget.ts'
export * from './check_document.ts'
export * from './circuit.ts'
export * from './client_address.ts'
export * from './client_blocks.ts'
export * from './client_exchange.ts'
export * from './client_blocks_build.ts'
export * from './client_blocks_codec.ts'
export * from './client_blocks_merge.ts'
export * from './desired_weights.ts'
export * from './detach_body.ts'
export * from './diff_documents.ts'
export * from './document.ts'
export * from './document_access.ts'
export * from './entries.ts'
export * from './fairness.ts'
export * from './feed_plan.ts'
export * from './feeder_choice.ts'
export * from './feeds.ts'
export * from './hold_times.ts'
export * from './inventory.ts'
export * from './key_memory.ts'
export * from './link_budget.ts'
export * from './membership.ts'
export * from './outcomes.ts'
export * from './pin.ts'
export * from './refusal.ts'
export * from './region_demand.ts'
export * from './rendezvous.ts'
export * from './reported_load.ts'
export * from './request.ts'
export * from './request_class.ts'
export * from './retry_after.ts'
export * from './retry_budget.ts'
export * from './shift.ts'
export * from './slot_feed.ts'
export * from './slots.ts'
export * from './slow_start.ts'
export * from './target_state.ts'
export * from './target_words.ts'
export * from './upload_reserve.ts'
export * from './weight_walk.ts'
