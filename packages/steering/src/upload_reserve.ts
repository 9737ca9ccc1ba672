/**
 * Keeps uploads off some of the slots while requests of other classes arrive, because uploads hold slots for a long time.
 *
 * @module
 */
import { RequestClass } from './outcomes.ts'

/** Slots of a service that uploads may not use. */
export interface UploadReserve {
  /** Records the class of a request that arrived. */
  observe (requestClass: RequestClass, nowMs: number): void
  /** Returns whether a request of a class may use one of the free slots. */
  isAllowed (requestClass: RequestClass, state: { nowMs: number, slots: number, freeSlots: number }): boolean
}

/** Share of the slots that uploads may not use. */
const reservedShare = 0.2
/** Time after the last request of another class for which slots are reserved, in milliseconds. */
const reserveMs = 10_000

/**
 * Creates the upload reserve of one service.
 *
 * @returns The reserve
 */
export function createUploadReserve (): UploadReserve {
  let lastOtherAtMs = -Infinity
  return {
    observe (requestClass, nowMs) {
      if (requestClass !== RequestClass.Upload) lastOtherAtMs = nowMs
    },
    isAllowed (requestClass, state) {
      if (requestClass !== RequestClass.Upload || state.nowMs - lastOtherAtMs > reserveMs) return true
      return state.freeSlots > Math.floor(state.slots * reservedShare)
    }
  }
}
