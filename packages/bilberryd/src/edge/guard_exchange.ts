/**
 * Guards the callbacks of an exchange.
 *
 * @module
 */
import type { Exchange } from '@bilberryworks/targets'

/** Runs a callback of an attempt, and ends the attempt if that throws. */
export type RunGuarded = (work: () => void) => void

/** An exchange whose callbacks are guarded. */
export interface GuardedExchange {
  /** The exchange. */
  exchange: Exchange
  /** Returns whether a callback has thrown; the attempt has ended then. */
  hasFailed: () => boolean
}

/**
 * Guards the callbacks of an exchange. After one has thrown, none is called any more, and nothing is sent.
 *
 * @param exchange The exchange
 * @param runGuarded Runs a callback
 * @returns The guarded exchange
 */
export function createGuardedExchange (exchange: Exchange, runGuarded: RunGuarded): GuardedExchange {
  let hasFailed = false

  /** Returns what a callback returns, or `fallback` if it or an earlier one has thrown. */
  function run<T> (work: () => T, fallback: T): T {
    if (hasFailed) return fallback
    let result = fallback
    let isDone = false
    runGuarded(() => {
      result = work()
      isDone = true
    })
    hasFailed ||= !isDone
    return result
  }

  const { writeBody } = exchange
  return {
    hasFailed: () => hasFailed,
    exchange: {
      ...exchange,
      ...writeBody === undefined ? {} : { writeBody: (write, onDrain) => run(() => writeBody(write, onDrain), undefined) },
      isOwnResponse: head => run(() => exchange.isOwnResponse(head), true),
      maySend: () => run(exchange.maySend, false),
      onSendStart: () => run(exchange.onSendStart, undefined),
      onHead: head => run(() => exchange.onHead(head), undefined),
      onBody: part => run(() => exchange.onBody(part), undefined),
      onEnd: () => run(exchange.onEnd, undefined),
      onFail: (failure, detail) => run(() => exchange.onFail(failure, detail), undefined)
    }
  }
}
