import test from 'ava'
import { request } from 'undici'
import { startSingleInstance, waitUntilServing } from './_single_instance.ts'

test('a stop that reaches its limit answers each request, and says truly which were not run', async t => {
  await using system = await startSingleInstance({ settings: { stopLimitMs: 200, lookUpTtlSeconds: 1 } })
  await waitUntilServing(system)
  system.target.behaviour.serviceMs = 20_000
  const orders = Array.from({ length: 6 }, (_, index) => String(index))
  const responses = orders.map(order => request(`http://${system.instance.addresses.callers}/services/lunchbox-api/orders`, { method: 'POST', body: order, headers: { 'x-order': order } }).then(async ({ headers, body }) => {
    await body.text()
    return { order, outcome: headers['bilberry-outcome'], reason: headers['bilberry-reason'] }
  }, (error: Error) => ({ order, outcome: 'lost', reason: error.message })))
  while (system.target.runs.length < 3) await new Promise(resolve => setTimeout(resolve, 20))
  await system.instance.stop()
  const results = await Promise.all(responses)
  const started = system.target.runs.length
  t.is(results.filter(({ outcome }) => outcome === 'unknown').length, started, JSON.stringify(results))
  t.is(results.filter(({ outcome }) => outcome === 'not-run').length, orders.length - started)
  t.true(results.every(({ reason }) => reason === 'stopping'))
})
