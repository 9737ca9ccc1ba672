import { readdirSync, readFileSync, statSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const root = fileURLToPath(new URL('../../..', import.meta.url))
/** Folders under packages/ that may contain names of the platform's protocol: the fakes of the platform. */
const allowedFolders = ['packages/standins/']
/** Names of the platform's protocol that have no other meaning in this repository. */
const platformNames = /x-request-id|x-timeout-ms|x-affinity-key|x-server-signature|x-target-instance|x-server-load|x-not-executed|x-cold-ms|x-instance-id|server-limit|server-leaving|store-era|rows-tx|rows-get|rows-feed|traffic_split|session_affinity|home_regions|cold_left|cold_per_s|latency_slo|BILBERRYWORKS_CONFIG|stable_window|max_stretch|'\/resolve'|'\/ready'/i

function listSources (folder: string): string[] {
  return readdirSync(`${root}${folder}`).flatMap(name => {
    const path = `${folder}/${name}`
    if (name === 'dist' || name === 'node_modules') return []
    if (statSync(`${root}${path}`).isDirectory()) return listSources(path)
    return name.endsWith('.ts') ? [path] : []
  })
}

test('keeps names of the platform protocol out of all packages but the adapter and the fakes', t => {
  const sources = listSources('packages').filter(path => !allowedFolders.some(folder => path.startsWith(folder)))
  t.true(sources.length > 100)
  t.deepEqual(sources.filter(path => platformNames.test(readFileSync(`${root}${path}`, 'utf8'))), [])
})

test('finds a name of the platform protocol in the adapter', t => {
  t.regex(readFileSync(`${root}platform/src/headers.ts`, 'utf8'), platformNames)
})
