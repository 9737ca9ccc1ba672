import type { PeerClient } from '@bilberryworks/instances'
import type { AcceptedDocument, InstanceRecord, ServiceRequest, TargetRecord } from '@bilberryworks/steering'
import type { CreateRouterOptions } from './route.ts'
import type { ClusterView } from './cluster_view.ts'
import test from 'ava'
import { readFileSync } from 'node:fs'
import { Readable } from 'node:stream'
import { createNotRunRefusal, LifecycleState, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { createOwnerLoads } from './owner_loads.ts'
import { createRouter } from './route.ts'

test('lists every refusal reason once in docs/interface/refusals.md', t => {
  const page = readFileSync(new URL('../../../docs/interface/refusals.md', import.meta.url), 'utf8')
  const listed = [...page.matchAll(/^\| `([a-z_]+)` \|/gm)].map(match => match[1]!)
  t.deepEqual(listed.sort(), Object.values(RefusalReason).sort())
})

const document = { document: { service: 's', classes: [] }, revision: 1 } as unknown as AcceptedDocument
const target = { target: 't', service: 's', region: 'r', failureDomain: 'd', slots: 1, state: LifecycleState.Live } as TargetRecord

/** Routes one request through fakes that count dispatches and forwards. */
async function runRoute (change: { view?: Partial<ClusterView>, options?: Partial<CreateRouterOptions> }) {
  const counts = { dispatched: 0, forwarded: 0 }
  const view = { getDocument: () => document, listTargets: () => [target], listInstances: () => [{ instance: 'b' } as InstanceRecord], markInstanceUnreachable: () => {}, ...change.view } as unknown as ClusterView
  const peers = {
    async forward () {
      counts.forwarded++
      return err({ isUnsent: true, refusal: createNotRunRefusal(RefusalReason.PeerUnreachable, '', 1_000) })
    }
  } as unknown as PeerClient
  const handle = createRouter({
    instance: 'a',
    view,
    listOwners: () => ['b'],
    async dispatch () {
      counts.dispatched++
      return err(createNotRunRefusal(RefusalReason.TargetRefused, ''))
    },
    regions: { getWeights: () => ({ r: 1 }), chooseRegion: () => ok('r'), recordOutcome: () => {} } as unknown as CreateRouterOptions['regions'],
    peers,
    loads: createOwnerLoads({ instance: 'a', failureDomain: 'd', getOwnLoad: () => ({ slots: 0, busy: 0, queued: 0 }), getNowMs: () => 0 }),
    links: { paceRequest: (_region, { request }) => ok(request), paceResponses: handle => handle },
    isReady: () => true,
    countRetry: () => {},
    getRandom: () => 0.5,
    getNowMs: () => 0,
    ...change.options
  })
  const request = { service: 's', method: 'POST', path: '/', body: Readable.from([]), callerKey: 'c', hops: 0, signal: new AbortController().signal } as unknown as ServiceRequest
  const { outcome, reason } = (await handle(request))._unsafeUnwrapErr()
  return { end: `${outcome} ${reason}`, ...counts }
}

const refuseRegion = (reason: RefusalReason) => ({ options: { regions: { getWeights: () => ({}), chooseRegion: () => err(createNotRunRefusal(reason, '')) } as unknown as CreateRouterOptions['regions'] } })
const cases: Array<[string, Parameters<typeof runRoute>[0], number]> = [
  ['unknown_service', { view: { getDocument: () => undefined } }, 0],
  ['no_document', { view: { getDocument: () => undefined }, options: { isReady: () => false } }, 0],
  ['no_usable_target', { view: { listTargets: () => [] } }, 0],
  ['shift_cap', refuseRegion(RefusalReason.ShiftCap), 0],
  ['peer_unreachable', {}, 1]
]
for (const [reason, change, forwarded] of cases) {
  test(`refuses a request without a dispatch: ${reason}`, async t => {
    t.deepEqual(await runRoute(change), { end: `not-run ${reason}`, dispatched: 0, forwarded })
  })
}
