/**
 * Half of the servers spoil 2 % of their answers for 6 s: one byte of the head is wrong. Checks what becomes of the requests that
 * the other, sound servers run meanwhile.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { hasTrouble, recordRequests, runCase } from '../lib/case.mjs'
import { openConnection } from '../lib/client.mjs'
import { formatAnswer, startServer } from '../lib/server.mjs'
import { clientHost } from '../lib/site.mjs'

const instanceZones = ['sofia-a', 'plovdiv-a', 'varna-a']
const serverCount = 12
const serverZones = ['sofia-a', 'plovdiv-a', 'varna-a', 'sofia-b', 'plovdiv-b', 'varna-b']
const spoiledShare = 0.02
const spoiledForMs = 6_000
const clients = 24
const workMs = 60
const timeoutMs = 4_000
/** The platform restarts a process that has ended after a short delay. */
const restartAfterMs = 1_000
const maxLost = 3

/** Overwrites one byte of the head, behind the status line, by a control character. */
function spoilHead (answer) {
  const [start, end] = [answer.indexOf('\r\n') + 2, answer.indexOf('\r\n\r\n')]
  const index = start + Math.floor(Math.random() * (end - start))
  answer[index] = 1 + Math.floor(Math.random() * 8)
  return index
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (site, record) => {
  const runs = new Map()
  let isSpoiling = false
  let spoiledCount = 0
  const phase = { isDone: false }
  site.writeConfig({ menu: { kind: 'safe', service: 'lunchbox' }, orders: { kind: 'unsafe', service: 'lunchbox' } }, ['lunchbox'])
  for (let index = 0; index < serverCount; index++) {
    const id = `i-${index}`
    site.addServer(await startServer({
      host: `${site.network}.${100 + index}`,
      store: site.store,
      id,
      service: 'lunchbox',
      zone: serverZones[index % serverZones.length],
      onRun: run => runs.set(run.id, run.server),
      answer (request, socket) {
        setTimeout(() => {
          const answer = formatAnswer(request, { body: '{"menu":"lentil soup"}', fields: ['Content-Type: application/json', 'Cache-Control: max-age=60'] })
          if (isSpoiling && index % 2 === 1 && Math.random() < spoiledShare) {
            spoiledCount++
            record(`server ${id} spoils byte ${spoilHead(answer)} of its answer to ${request.id}`)
          }
          socket.write(answer)
        }, workMs)
      }
    }))
  }
  const instances = []
  for (const zone of instanceZones) instances.push(await site.startInstance(zone))
  const ends = new Map(instances.map(({ name }) => [name, 0]))

  async function keepRunning (instance) {
    while (!phase.isDone) {
      await instance.ended
      if (phase.isDone) return
      ends.set(instance.name, ends.get(instance.name) + 1)
      await wait(restartAfterMs)
      if (!phase.isDone) site.startProcess(instance)
    }
  }

  const results = []
  async function runClient (number) {
    let connection
    let answered = 0
    for (let count = 0; !phase.isDone; count++) {
      const instance = instances[(number + count) % instances.length]
      if (connection?.isOpen() !== true) {
        connection = await openConnection(instance.front).catch(() => undefined)
        answered = 0
      }
      if (connection === undefined) {
        await wait(50)
        continue
      }
      const id = `c${number}-${count}`
      const method = count % 3 === 0 ? 'POST' : 'GET'
      const result = await connection.sendRequest({ id, method, host: clientHost, path: method === 'POST' ? '/orders/1' : `/menu/${count % 24}`, timeoutMs, ...method === 'POST' ? { body: Buffer.from('{"box":1}') } : {} })
      results.push({ ...result, id, method, isKept: answered > 0 })
      if (result.isClosed || result.status !== 200) record(`request ${id} ${method}: ${result.isClosed ? 'connection closed without an answer' : `status ${result.status}`}; ran at ${runs.get(id) ?? 'no server'}`)
      if (result.isComplete) answered++
      else connection.close()
    }
  }

  for (const instance of instances) keepRunning(instance)
  const running = Array.from({ length: clients }, (_, number) => runClient(number))
  await wait(5_000)
  isSpoiling = hasTrouble
  if (isSpoiling) record(`half of the servers spoil ${spoiledShare} of their answers from now on`)
  await wait(spoiledForMs)
  isSpoiling = false
  await wait(3_000)
  phase.isDone = true
  await Promise.all(running)
  recordRequests(record, results, runs)
  const lost = results.filter(({ id, isKept, isClosed }) => isKept && isClosed && runs.has(id) && Number(runs.get(id).slice(2)) % 2 === 0)
  const served = results.filter(({ status, isComplete }) => status === 200 && isComplete).length
  const endedThrice = [...ends].filter(([, count]) => count >= 3).map(([name]) => name)
  record(`sent ${results.length}, served ${served}, spoiled answers ${spoiledCount}; processes that ended by themselves: ${[...ends].map(([name, count]) => `${name} ${count}`).join(', ')}; three times or more: ${endedThrice.length} machines`)
  return { isBroken: lost.length > maxLost, summary: `${lost.length} requests from kept connections ran at sound servers and lost their connection without an answer; LOST allows ${maxLost}` }
})
