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
export * from './circuit.ts'
export * from './desired_weights.ts'
export * from './document.ts'
export * from './entries.ts'
export * from './fairness.ts'
export * from './feeder_choice.ts'
export * from './hold_times.ts'
export * from './inventory.ts'
export * from './link_budget.ts'
export * from './outcomes.ts'
export * from './pin.ts'
export * from './refusal.ts'
export * from './region_demand.ts'
export * from './rendezvous.ts'
export * from './reported_load.ts'
export * from './retry_after.ts'
export * from './slot_feed.ts'
export * from './slots.ts'
export * from './slow_start.ts'
export * from './target_state.ts'
export * from './upload_reserve.ts'
export * from './weight_walk.ts'
export * from './request_class.ts'
export * from './request.ts'
export * from './feeders.ts'
