/** The case of `claim.txt`. */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setTimeout as wait } from 'node:timers/promises'
import { bounds, createConfig, runCase, send } from '../lib-2/site.mjs'

const zones = ['a-1', 'b-1', 'c-1']
const serversPerZone = 3
const heartbeatMs = 1_500
const coldMs = 3_000
const coldPerSecond = 2.4
/** Requests that a cold server may get in one second, by the rule. */
const mostInSecond = coldPerSecond * bounds.cold_over + bounds.cold_slack
/** Requests in one second at which it crashes: well above that. */
const crashInSecond = mostInSecond * 1.5
/** Times from the check-in that gets no answer: until the server crashes, is back under its id, and until the store performs the check-in. */
const crashAfterMs = 100
const backAfterMs = 1_500
const lateMs = 3_100
const requestsPerSecond = 150
/** Time for which this process may stand still, in milliseconds: its servers and clients do so with it, and nothing is shown then. */
const maxStandstillMs = 1_000
const playMs = 14_000

await runCase(new URL('record.txt', import.meta.url), async (site, { isTroubled }) => {
  site.store.writeRow('op', 'config', createConfig(1, { menu: { kind: 'safe', service: 'menu' } }, { menu: { cold_start: `${coldMs}ms`, cold_per_s: coldPerSecond } }))
  const handle = ({ server }) => {
    const nowMs = site.getNowMs()
    if (nowMs >= (server.backMs ?? Infinity) + coldMs || server.arrivals.filter(({ arrivedMs }) => arrivedMs > Math.max(nowMs - 1_000, server.backMs ?? Infinity)).length <= crashInSecond) return false
    server.crash()
    return true
  }
  for (const zone of zones) for (let count = 0; count < serversPerZone; count++) await site.addServer({ service: 'menu', zone, slots: 6, workMs: () => 80 + Math.random() * 40, handle })
  for (const zone of zones) await site.addMachine({ zone, zones })
  for (const machine of site.machines) machine.start()
  for (const machine of site.machines) await machine.waitReady()
  await wait(4_000)

  const server = site.servers[0]
  const formatCold = () => `${Math.max(0, Math.round(server.backMs + coldMs - site.getNowMs()))}ms`
  const checkIn = each => { if (each.isUp) each.checkIn(each.backMs === undefined ? {} : { cold_left: formatCold() }) }
  const timers = site.servers.filter(each => each !== server).map(each => setInterval(checkIn, heartbeatMs, each))
  const standstills = monitorEventLoopDelay()
  standstills.enable()
  const sends = []
  const startMs = site.getNowMs()
  const sendAll = async () => {
    for (let count = 0; site.getNowMs() < startMs + playMs; await wait(5)) {
      for (; count < (site.getNowMs() - startMs) / 1_000 * requestsPerSecond; count++) {
        sends.push(send(site, site.machines[count % site.machines.length], { path: `/menu/${count % 500}`, key: String(count % 500), timeLeftMs: 2_000, isQuiet: true }))
      }
    }
  }
  const restart = async () => {
    await wait(2_000)
    const [id, value] = [server.id, server.describe()]
    const perform = () => {
      site.store.writeRow('servers', id, value)
      site.record(`store performs the check-in of ${id}, born ${value.born}, seq ${value.seq}`)
    }
    site.record(`${id} checks in, born ${value.born}, seq ${value.seq}${isTroubled ? ', and gets no answer' : ''}`)
    if (isTroubled) setTimeout(perform, lateMs)
    else perform()
    await wait(crashAfterMs)
    server.crash()
    await wait(backAfterMs - crashAfterMs)
    server.backMs = site.getNowMs()
    await server.start({ cold_left: `${coldMs}ms` }, { id })
    site.record(`${id} is back, born ${server.born}, and cold for ${coldMs} ms`)
    timers.push(setInterval(checkIn, heartbeatMs, server))
  }
  await Promise.all([restart(), sendAll()])
  const results = await Promise.all(sends)
  for (const timer of timers) clearInterval(timer)

  const standstillMs = standstills.max / 1e6
  site.record(`this process stood still for ${Math.round(standstillMs)} ms at most`)
  if (standstillMs > maxStandstillMs) throw new Error('This process stood still for too long')

  const sentMs = new Map(results.map(result => [result.id, result.sentMs]))
  const cold = server.arrivals.filter(({ arrivedMs }) => arrivedMs >= server.backMs && arrivedMs < server.backMs + coldMs)
  let [most, mostAtMs] = [0, 0]
  for (const { arrivedMs: toMs } of cold) {
    const count = cold.filter(({ id, arrivedMs }) => sentMs.get(id) > toMs - 1_000 && arrivedMs <= toMs).length
    if (count > most) [most, mostAtMs] = [count, toMs]
  }
  return {
    isBroken: most > mostInSecond,
    summary: `the cold server got up to ${most} requests in one second (${mostInSecond} may), the last at ${(mostAtMs / 1_000).toFixed(3)} s, and ${cold.length} in its cold start of ${coldMs} ms${server.isUp ? '' : ', in which it crashed'}; ${results.filter(({ status }) => status === 200).length} of ${results.length} requests served`
  }
})
