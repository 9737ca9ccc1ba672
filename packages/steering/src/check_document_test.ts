import type { ServiceDocument } from './document.ts'
import test from 'ava'
import { checkDocument } from './check_document.ts'
import { diffDocuments } from './diff_documents.ts'
import { checkDocumentAccess, DocumentAccess } from './document_access.ts'
import { LifecycleState } from './inventory.ts'
import { Objective, RequestClass } from './outcomes.ts'

const valid: ServiceDocument = {
  service: 'api',
  ownerTeam: 'a',
  regionWeights: { sofia: 1, varna: 0 },
  shiftCap: 0.1,
  shiftStepMs: 10_000,
  leavingTargets: [],
  classes: [{ methods: ['GET'], pathPrefix: '/', requestClass: RequestClass.LookUp, deadlineMs: 1_000, priority: 0 }],
  objective: Objective.Headroom,
  limits: { maxBodyBytes: 1, maxUploadBytes: 1, maxQueued: 1 }
}
const target = { service: 'api', address: '', failureDomain: 'd', slots: 1, maxConnections: 1, state: LifecycleState.Live }
const targets = [{ ...target, target: 's1', region: 'sofia' }, { ...target, target: 'v1', region: 'varna', state: LifecycleState.Leaving }]

const cases: Array<[name: string, value: unknown, pointers: string[]]> = [
  ['a valid document', valid, []],
  ['unknown keys at two depths', { ...valid, colour: 1, limits: { ...valid.limits, 'a/b': 2 } }, ['/colour', '/limits/a~1b']],
  ['missing keys', { ...valid, service: undefined, shiftCap: undefined }, ['/service', '/shiftCap']],
  ['a value that is not an object', [], ['']],
  ['an unknown request class and a shift cap above 1', { ...valid, shiftCap: 1.5, classes: [{ ...valid.classes[0], requestClass: 'x' }] }, ['/classes/0/requestClass', '/shiftCap']],
  ['a region named like an inherited object member', { ...valid, regionWeights: { constructor: 1 } }, ['/regionWeights/constructor']],
  ['no weight above 0', { ...valid, regionWeights: { sofia: 0 } }, ['/regionWeights']],
  ['a document for another service', { ...valid, service: 'web' }, ['/regionWeights/sofia', '/service']],
  ['a region with leaving targets only', { ...valid, regionWeights: { sofia: 1, varna: 1 } }, ['/regionWeights/varna']],
  ['a region whose only live target the document lists as leaving', { ...valid, leavingTargets: ['s1'] }, ['/regionWeights/sofia']],
  ['a shift cap of 0 with a change of weights', { ...valid, shiftCap: 0, regionWeights: { sofia: 2, varna: 1 } }, ['/regionWeights/varna', '/shiftCap']],
  ['a shift cap of 0 without a change of weights', { ...valid, shiftCap: 0, regionWeights: { sofia: 7 } }, []]
]

for (const [name, value, pointers] of cases) {
  test(`reports exactly the faults of: ${name}`, t => {
    const result = checkDocument(value, { service: 'api', current: valid, targets })
    t.deepEqual([...new Set(result.match(() => [], findings => findings.map(finding => finding.pointer)))].sort(), pointers)
  })
}

test('lists the differences between two documents by JSON pointer', t => {
  const before = { a: 1, b: { c: [1, 2] }, d: 1 }
  const after = { a: 1, b: { c: [1, 3] }, e: null }
  t.deepEqual(diffDocuments(before, after), [{ pointer: '/b/c/1', before: 2, after: 3 }, { pointer: '/d', before: 1 }, { pointer: '/e', after: null }])
})

test('changes the owner of a document only with the consent of both teams', t => {
  const owned = (ownerTeam: string, handOverTo?: string): ServiceDocument => ({ ...valid, ownerTeam, ...handOverTo === undefined ? {} : { handOverTo } })
  t.is(checkDocumentAccess(owned('a'), undefined, { team: 'a' }), DocumentAccess.Allowed)
  t.is(checkDocumentAccess(owned('b'), undefined, { team: 'a' }), DocumentAccess.OwnerChanged)
  t.is(checkDocumentAccess(owned('b'), owned('a'), { team: 'a' }), DocumentAccess.OwnerChanged)
  t.is(checkDocumentAccess(owned('b'), owned('a'), { team: 'b' }), DocumentAccess.OtherTeam)
  t.is(checkDocumentAccess(owned('b'), owned('a', 'b'), { team: 'b' }), DocumentAccess.Allowed)
})
