import type { Exchange } from '@bilberryworks/targets'
import test from 'ava'
import { ExchangeFailure } from '@bilberryworks/targets'
import { createGuardedExchange } from './guard_exchange.ts'

const head = { status: 200, fields: {}, rawHeaders: [], contentLength: 0, isReusable: true } as unknown as Parameters<Exchange['onHead']>[0]
const names = ['writeBody', 'isOwnResponse', 'maySend', 'onSendStart', 'onHead', 'onBody', 'onEnd', 'onFail'] as const

/** Calls all callbacks in the order of an exchange; returns what decides whether it goes on. */
function runCallbacks (exchange: Exchange): { maySend: boolean, isOwnResponse: boolean } {
  const maySend = exchange.maySend()
  exchange.onSendStart()
  exchange.writeBody!(() => true, () => {})
  const isOwnResponse = exchange.isOwnResponse(head)
  exchange.onHead(head)
  exchange.onBody(Buffer.alloc(1))
  exchange.onEnd()
  exchange.onFail(ExchangeFailure.Lost, '')
  return { maySend, isOwnResponse }
}

for (const thrower of names) {
  test(`after ${thrower} has thrown, an exchange with a target or another instance calls nothing more and sends nothing`, t => {
    const called: string[] = []
    const create = (name: typeof names[number]) => (): never => {
      called.push(name)
      if (name === thrower) throw new Error('injected')
      return true as never
    }
    const exchange = { head: '', isBodiless: false, ...Object.fromEntries(names.map(name => [name, create(name)])) } as unknown as Exchange
    const errors: unknown[] = []
    const guarded = createGuardedExchange(exchange, work => {
      try {
        work()
      } catch (error) {
        errors.push(error)
      }
    })
    const { maySend } = runCallbacks(guarded.exchange)
    t.true(guarded.hasFailed())
    t.is(errors.length, 1)
    t.is(called.at(-1), thrower)
    t.is(maySend, thrower !== 'maySend')
  })
}
