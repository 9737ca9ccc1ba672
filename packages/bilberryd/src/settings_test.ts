import test from 'ava'
import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { checkDocument } from '@bilberryworks/steering'
import { parseSettings } from './settings.ts'
import { settingsSchema } from './settings_schema.ts'

const root = fileURLToPath(new URL('../../..', import.meta.url))
const valid = {
  instance: 'entry-0',
  failureDomain: 'sofia-a',
  region: 'sofia',
  platformUrl: 'http://192.0.2.1:8080',
  listen: { callers: { host: '192.0.2.2', port: 1 }, operators: { host: '192.0.2.2', port: 2 }, peers: { host: '192.0.2.2', port: 3 } },
  peerKeys: ['0123456789abcdef']
}

interface Schema {
  type: string
  properties?: Record<string, Schema>
  required?: string[]
  items?: Schema
  default?: unknown
  [bound: string]: unknown
}

/** Lists the settings with their bounds as rows of the table in docs/SETTINGS.md. */
function listSettings (schema: Schema, path = ''): string[] {
  if (schema.items !== undefined) return listSettings(schema.items, `${path}[]`)
  return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const propertyPath = path === '' ? name : `${path}.${name}`
    const presence = schema.required?.includes(name) === true ? 'required' : property.default === undefined ? 'optional' : JSON.stringify(property.default)
    return [`| \`${propertyPath}\` | ${describeBounds(property)} | ${presence} |`, ...listSettings(property, propertyPath)]
  })
}

function describeBounds (schema: Schema): string {
  const { minimum, maximum, minItems, maxItems, minLength } = schema
  const number = minimum === undefined ? '' : ` from ${String(minimum)}${maximum === undefined ? '' : ` to ${String(maximum)}`}`
  const items = minItems === undefined ? '' : ` of ${String(minItems)} to ${String(maxItems)}`
  const length = typeof minLength === 'number' && minLength > 1 ? ` of at least ${minLength} characters` : ''
  return `${schema.type}${number}${items}${length}`
}

test('describes each setting of the schema in docs/SETTINGS.md', t => {
  const rows = readFileSync(`${root}/docs/SETTINGS.md`, 'utf8').split('\n').filter(line => line.startsWith('| `'))
  const described = rows.map(row => `${row.split(' | ').slice(0, 3).join(' | ')} |`)
  t.deepEqual(described, listSettings(settingsSchema as unknown as Schema))
  t.true(rows.every(row => (row.split(' | ')[3] ?? '').length > 5), 'each row has a description')
})

test('accepts the example settings of each instance', t => {
  for (const deployment of ['kutiyka', 'trwsio']) {
    const folder = `${root}/examples/${deployment}`
    const files = readdirSync(folder).filter(name => name.startsWith('entry-'))
    t.is(files.length, 7)
    const names = files.map(name => {
      const settings = parseSettings(readFileSync(`${folder}/${name}`, 'utf8'))
      t.true(settings.isOk(), `${name}: ${JSON.stringify(settings)}`)
      return settings._unsafeUnwrap().instance
    })
    t.deepEqual(names.map(name => `${name}.json`), files)
  }
})

test('accepts the example documents', t => {
  for (const path of ['kutiyka/lunchbox-api', 'kutiyka/manifest-store', 'trwsio/bwrdd-trwsio', 'trwsio/storfa-lluniau']) {
    const document = JSON.parse(readFileSync(`${root}/examples/${path}.json`, 'utf8')) as unknown
    t.true(checkDocument(document).isOk(), path)
  }
})

const findings: Array<{ name: string, change: object, pointer: string, message: RegExp }> = [
  { name: 'unknown key', change: { more: 1 }, pointer: '/more', message: /unknown key/ },
  { name: 'missing key', change: { region: undefined }, pointer: '/region', message: /required/ },
  { name: 'number out of bounds', change: { pollMs: 1 }, pointer: '/pollMs', message: />= 50/ },
  { name: 'wrong type', change: { peerKeys: 'x' }, pointer: '/peerKeys', message: /array/ },
  { name: 'short key', change: { peerKeys: ['x'] }, pointer: '/peerKeys/0', message: /16 characters/ },
  { name: 'host name in place of an address', change: { seedPeers: ['name:1'] }, pointer: '/seedPeers/0', message: /pattern/ },
  { name: 'link from a region to itself', change: { links: [{ regions: ['a', 'a'], bitsPerSecond: 1 }] }, pointer: '/links/0/regions', message: /duplicate/ },
  { name: 'certificate without key', change: { listen: { ...valid.listen, peers: { ...valid.listen.peers, tls: { certificate: 'x' } } } }, pointer: '/listen/peers/tls/key', message: /required/ },
  { name: 'token without a SHA-256 hash', change: { tokens: [{ name: 'a', team: 'b', sha256: 'plain' }] }, pointer: '/tokens/0/sha256', message: /pattern/ }
]

test('reports all findings in one result, each with its JSON pointer', t => {
  t.true(parseSettings(JSON.stringify(valid)).isOk())
  for (const { name, change, pointer, message } of findings) {
    const found = parseSettings(JSON.stringify({ ...valid, ...change }))._unsafeUnwrapErr()
    t.deepEqual(found.map(finding => finding.pointer), [pointer], name)
    t.regex(found[0]!.message, message, name)
  }
  const changes = Object.assign({}, ...findings.map(({ change }) => change)) as object
  const all = parseSettings(JSON.stringify({ ...valid, ...changes }))._unsafeUnwrapErr()
  t.is(all.length, new Set(findings.map(finding => Object.keys(finding.change)[0])).size)
  t.is(parseSettings('{')._unsafeUnwrapErr()[0]!.pointer, '')
})

test('never includes a secret in a finding', t => {
  const found = parseSettings(JSON.stringify({ ...valid, peerKeys: ['shortsecret'], tokens: [{ name: 'a', team: 'b', sha256: 'plainsecret' }] }))._unsafeUnwrapErr()
  t.false(JSON.stringify(found).includes('secret'))
})
