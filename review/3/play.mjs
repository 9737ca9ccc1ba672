/**
 * Two zones can't reach each other while the other machines reach both; one of those is cut off from the store when the config
 * moves a route. Checks that the machine between the two zones doesn't go back to the old config.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { hasTrouble, recordRequests, runCase } from '../lib/case.mjs'
import { openConnection } from '../lib/client.mjs'
import { openPath } from '../lib/path.mjs'
import { formatAnswer, startServer } from '../lib/server.mjs'
import { clientHost } from '../lib/site.mjs'

const serverZone = 'varna-a'
const cutZone = 'plovdiv-a'
const otherZones = ['sofia-a', 'sofia-b']
const clients = 8
const timeoutMs = 4_000
const revertSlackMs = 250
/** The other two machines; the first one starts before them, so that each has the addresses of its own paths from the store. */
const seeds = [2, 3]

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (site, record) => {
  const phase = { isStoreCut: false, isDone: false }
  const runs = new Map()
  const paths = new Map()
  const startedAtMs = performance.now()
  const getNowMs = () => performance.now() - startedAtMs
  const writeRoute = service => site.writeConfig({ menu: { kind: 'safe', service } }, ['menu-old', 'menu-new'])
  writeRoute('menu-old')
  for (const service of ['menu-old', 'menu-new']) {
    for (let index = 0; index < 4; index++) {
      const host = `${site.network}.${100 + index}`
      const server = await startServer({
        host,
        store: site.store,
        id: `${service}-${index}`,
        service,
        zone: serverZone,
        onRun: run => runs.set(run.id, { service, atMs: getNowMs() }),
        answer: (request, socket) => setTimeout(() => socket.write(formatAnswer(request, { body: 'menu' })), 30)
      })
      site.addServer(server)
      const path = await openPath(host, server.address)
      paths.set(server.address, path)
      site.addServer({ stop: path.cut })
    }
  }
  const mapRow = (table, value) => table === 'servers' ? { ...value, address: paths.get(value.address).address } : value
  const cutMachine = await site.startInstance(cutZone, { endpoint: { mapRow }, seeds })
  const staleMachine = await site.startInstance(otherZones[0], { endpoint: { isSilent: () => phase.isStoreCut }, seeds })
  await site.startInstance(otherZones[1], { seeds })
  await wait(5_000)

  const results = []
  async function runClient (number) {
    let connection
    for (let count = 0; !phase.isDone; count++) {
      if (connection?.isOpen() !== true) connection = await openConnection(cutMachine.front)
      const id = `c${number}-${count}`
      const sentAtMs = getNowMs()
      const result = await connection.sendRequest({ id, host: clientHost, path: '/menu/1', timeoutMs })
      results.push({ ...result, id, sentAtMs })
      if (!result.isComplete) connection.close()
      await wait(40)
    }
    connection?.close()
  }
  const running = Array.from({ length: clients }, (_, number) => runClient(number))
  await wait(1_000)
  if (hasTrouble) {
    record(`zones ${cutZone} and ${serverZone} can't reach each other from now on: connections are refused`)
    for (const path of paths.values()) await path.cut()
  }
  await wait(2_000)
  phase.isStoreCut = hasTrouble
  if (phase.isStoreCut) record(`${staleMachine.name} is cut off from the store from now on, silently`)
  await wait(300)
  writeRoute('menu-new')
  record('the route moves from menu-old to menu-new')
  await wait(3_000)
  phase.isDone = true
  await Promise.all(running)
  recordRequests(record, results, new Map([...runs].map(([id, { service }]) => [id, service])))
  const ran = results.flatMap(({ id, sentAtMs, status }) => runs.has(id) ? [{ id, sentAtMs, status, ...runs.get(id) }] : [])
  const seenAtMs = Math.min(...ran.filter(({ service }) => service === 'menu-new').map(({ atMs }) => atMs))
  const reverted = ran.filter(({ service, sentAtMs }) => service === 'menu-old' && sentAtMs > seenAtMs + revertSlackMs)
  for (const { id, sentAtMs } of reverted) record(`request ${id}, sent ${Math.round(sentAtMs - seenAtMs)} ms after a server of menu-new saw one from the same machine, ran at menu-old`)
  record(`sent ${results.length}, ran ${ran.length}, ran at menu-new ${ran.filter(({ service }) => service === 'menu-new').length}; answered with 200: ${results.filter(({ status }) => status === 200).length}`)
  return { isBroken: reverted.length > 0, summary: `${reverted.length} requests were handled as only the older version allows, more than ${revertSlackMs} ms after a server saw the newer one` }
})
