/**
 * Exact counts of the slots in use at the targets that this instance feeds.
 *
 * @module
 */
import type { TargetRecord } from './inventory.ts'

/** Counts of the slots in use, by target. */
export interface SlotLedger {
  /** Returns the slots in use at a target. */
  getBusy (target: string): number
  /** Takes a slot of a target. */
  reserve (target: string): void
  /** Gives a slot back, once the target is known to be done. */
  release (target: string): void
}

/**
 * Creates a ledger with no slot in use.
 *
 * @returns The ledger
 */
export function createSlotLedger (): SlotLedger {
  const busy = new Map<string, number>()
  return {
    getBusy: target => busy.get(target) ?? 0,
    reserve (target) {
      busy.set(target, (busy.get(target) ?? 0) + 1)
    },
    release (target) {
      const left = (busy.get(target) ?? 0) - 1
      if (left > 0) busy.set(target, left)
      else busy.delete(target)
    }
  }
}

/**
 * Chooses the target with the most free slots.
 *
 * @param targets Usable targets that this instance feeds
 * @param ledger Slots in use
 * @returns A target with a free slot, or `undefined` where there is none
 */
export function chooseTarget (targets: TargetRecord[], ledger: SlotLedger): TargetRecord | undefined {
  let best: TargetRecord | undefined
  let bestFree = 0
  for (const target of targets) {
    const free = target.slots - ledger.getBusy(target.target)
    if (free > bestFree) {
      best = target
      bestFree = free
    }
  }
  return best
}
