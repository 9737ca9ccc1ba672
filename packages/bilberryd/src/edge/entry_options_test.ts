import test from 'ava'
import { defaultEntryOptions, parseEntryOptions } from './entry_options.ts'

test('a command line without flags has the default options', t => {
  t.deepEqual(parseEntryOptions([])._unsafeUnwrap(), defaultEntryOptions)
})

test('flags set the port of the metrics, and the relays', t => {
  t.deepEqual(parseEntryOptions(['--metrics-port=9464', '--relay=off', '--max-relayed=8'])._unsafeUnwrap(), { metricsPort: 9_464, relays: { isEnabled: false, maxRelayed: 8 } })
})

test('reports every flag that is not valid', t => {
  const findings = parseEntryOptions(['--metrics-port=0', '--relay=maybe', '--max-relayed=5000', '--max-relayed=x', '--unknown=1', 'word'])._unsafeUnwrapErr()
  t.deepEqual(findings.map(({ pointer }) => pointer), ['--metrics-port=0', '--relay=maybe', '--max-relayed=5000', '--max-relayed=x', '--unknown=1', 'word'])
})
