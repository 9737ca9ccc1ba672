/**
 * The attempts of an instance whose responses have not ended.
 *
 * @module
 */
import type { Attempt } from './attempt.ts'
import type { Dispatcher } from './dispatcher.ts'
import { watchResponse } from '@bilberryworks/callers'

/** Numbers of requests that a stopping instance has answered itself. */
export interface EndedRequests {
  /** Requests that were refused as not run. */
  refused: number
  /** Requests that a target may have run. */
  unknown: number
}

/** Attempts whose responses have not ended. */
export interface OpenAttempts {
  /** Adds an attempt, until its response has ended. */
  add (attempt: Attempt): void
  /** Ends the attempts that the instance can't complete before it ends. */
  end (options: { isEnding: boolean }): EndedRequests
}

/**
 * Creates an empty collection of attempts.
 *
 * @param dispatcher Ends attempts
 * @returns The collection
 */
export function createOpenAttempts (dispatcher: Pick<Dispatcher, 'end'>): OpenAttempts {
  const attempts = new Set<Attempt>()
  return {
    add (attempt) {
      attempts.add(attempt)
      watchResponse(attempt.message, attempt.response, () => {
        attempts.delete(attempt)
        attempt.arrivingBody?.free()
      })
    },
    end (options) {
      const ended: EndedRequests = { refused: 0, unknown: 0 }
      for (const attempt of [...attempts]) {
        const { mayHaveRun } = attempt
        if (!dispatcher.end(attempt, options)) continue
        if (mayHaveRun) ended.unknown++
        else ended.refused++
      }
      return ended
    }
  }
}
