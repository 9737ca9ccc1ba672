/**
 * Keeps a few slots free of uploads, which hold theirs for long, while other classes are in use.
 *
 * @module
 */
import { RequestClass } from './outcomes.ts'

/** The slots of a service that uploads may not take. */
export interface UploadReserve {
  /** Takes note of the class of a request that arrived. */
  observe (requestClass: RequestClass, nowMs: number): void
  /** Tells whether a request of a class may take one of the free slots. */
  isAllowed (requestClass: RequestClass, state: { nowMs: number, slots: number, freeSlots: number }): boolean
}

const reservedShare = 0.2
/** Time after the last request of another class for which the slots are kept, in milliseconds. */
const reserveMs = 10_000

/**
 * Creates the reserve of one service.
 *
 * @returns The reserve
 */
export function createUploadReserve (): UploadReserve {
  let othersAtMs = -Infinity
  return {
    observe (requestClass, nowMs) {
      if (requestClass !== RequestClass.Upload) othersAtMs = nowMs
    },
    isAllowed (requestClass, state) {
      if (requestClass !== RequestClass.Upload || state.nowMs - othersAtMs > reserveMs) return true
      return state.freeSlots > Math.floor(state.slots * reservedShare)
    }
  }
}
