/** The case of `claim.txt`. */
import { setTimeout as wait } from 'node:timers/promises'
import { bounds, createConfig, runCase, send } from '../lib-2/site.mjs'

const zones = ['a-1', 'b-1', 'c-1']
const serversPerZone = 5
/** Servers that leave: two of fifteen, in different zones. */
const leaverIndexes = [0, 5]
const heartbeatMs = 1_500
const drainMs = Number.parseInt(bounds.drain, 10)
/** Time after which the store performs the call that it has not answered. */
const lateMs = 4_100
/** Time from that call until the server reports that it is leaving. */
const leaveAfterMs = 700
/** Time for which the server goes on serving once it has reported that: `drain` and a little longer. */
const serveOnMs = drainMs + 1_900
const callers = 100
const pauseMs = 150
const playMs = 20_000

await runCase(new URL('record.txt', import.meta.url), async (site, { isTroubled }) => {
  site.store.writeRow('op', 'config', createConfig(1, { orders: { kind: 'unsafe', service: 'shop' } }, { shop: {} }))
  for (const zone of zones) for (let count = 0; count < serversPerZone; count++) await site.addServer({ service: 'shop', zone, slots: 9, workMs: () => 900 + Math.random() * 200 })
  for (const zone of zones) await site.addMachine({ zone, zones })
  for (const machine of site.machines) machine.start()
  for (const machine of site.machines) await machine.waitReady()
  await wait(4_000)

  const states = new Map(site.servers.map(server => [server, 'ready']))
  const timers = new Map(site.servers.map(server => [server, setInterval(() => server.checkIn({ state: states.get(server) }), heartbeatMs)]))
  const untilMs = site.getNowMs() + playMs
  const results = []
  const sendOrders = async caller => {
    for (let count = 0; site.getNowMs() < untilMs; count++) {
      const machine = site.machines[(caller + count) % site.machines.length]
      results.push(await send(site, machine, { method: 'POST', path: '/orders/new', key: `${caller}-${count}`, body: `order ${caller}-${count}`, isQuiet: true }))
      await wait(pauseMs * 2 * Math.random())
    }
  }
  const leave = async leaver => {
    await wait(2_000)
    const value = leaver.describe()
    const perform = () => {
      site.store.writeRow('servers', leaver.id, value)
      site.record(`store performs the check-in of ${leaver.id} with seq ${value.seq}, ${value.state}`)
    }
    site.record(`${leaver.id} checks in: ${value.state}, seq ${value.seq}${isTroubled ? ', and gets no answer' : ''}`)
    if (isTroubled) setTimeout(perform, lateMs)
    else perform()
    await wait(leaveAfterMs)
    states.set(leaver, 'draining')
    leaver.fields = { 'Server-Leaving': '1' }
    leaver.checkIn({ state: 'draining' })
    await wait(serveOnMs)
    clearInterval(timers.get(leaver))
    leaver.crash()
  }
  const leavers = leaverIndexes.map(index => site.servers[index])
  await Promise.all([...leavers.map(leave), ...Array.from({ length: callers }, (_, caller) => sendOrders(caller))])
  for (const timer of timers.values()) clearInterval(timer)

  const sent = new Map(results.map(result => [result.id, result]))
  const late = []
  for (const leaver of leavers) {
    const toldMs = new Map()
    for (const { machine, headers, endedMs, body } of results) if (headers?.['server-leaving'] === '1' && body.includes(leaver.id)) toldMs.set(machine, Math.min(toldMs.get(machine) ?? Infinity, endedMs))
    for (const [machine, atMs] of toldMs) site.record(`${machine} had passed on an answer of ${leaver.id} with Server-Leaving at ${(atMs / 1_000).toFixed(3)} s`)
    for (const { id, arrivedMs } of leaver.arrivals) {
      const { machine, sentMs, status, error } = sent.get(id)
      if (sentMs <= (toldMs.get(machine) ?? Infinity) + drainMs) continue
      late.push(id)
      site.record(`${id} reached ${leaver.id} through ${machine} at ${(arrivedMs / 1_000).toFixed(3)} s: sent at ${(sentMs / 1_000).toFixed(3)} s, ended with ${status ?? error}`)
    }
  }
  return {
    isBroken: late.length > 0,
    summary: `${late.length} orders that clients sent later than ${drainMs} ms after their machine had passed on an answer with Server-Leaving reached that server; ${late.filter(id => sent.get(id).status !== 200).length} of these were lost with it; ${results.filter(({ status }) => status === 200).length} of ${results.length} orders served`
  }
})
