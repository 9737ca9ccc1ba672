import type { Route, RoutingConfig } from './routing.ts'
import test from 'ava'
import { createRouteTable, RouteKind } from './routing.ts'

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

function createRoute (name: string, host: string, pathPrefix: string): Route {
  return { name, host, pathPrefix, kind: RouteKind.Safe, timeoutMs: 1, latencyObjectiveMs: 1, priority: 0, maxAttempts: 1, weightedServices: [{ service: name, weight: 1 }], hasAffinity: false, homeRegions: [] }
}

const routes = [createRoute('all', 'a.example', '/'), createRoute('short', 'a.example', '/x/'), createRoute('long', 'a.example', '/x/y/'), createRoute('other', 'b.example', '/x/')]
const config: RoutingConfig = { version: 1, routes, services: new Map(), limits }

const cases: Array<[string, string, string | undefined]> = [
  ['a.example', '/x/y/z', 'long'],
  ['a.example', '/x/yz', 'short'],
  ['a.example', '/x/', 'short'],
  ['a.example', '/x', 'all'],
  ['A.Example', '/x/y/', 'long'],
  ['b.example', '/y', undefined],
  ['c.example', '/x/', undefined]
]
for (const [host, path, expected] of cases) {
  test(`finds the route of ${host}${path}`, t => {
    t.is(createRouteTable(config).findRoute(host, path)?.name, expected)
  })
}
