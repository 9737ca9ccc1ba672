/**
 * Implements the platform interface on top of the store of the users' platform.
 *
 * @module
 */
import type { ServingTarget, SocketAddress, TargetRecord } from '@bilberryworks/steering'
import type { StoreFailure, StoreRow } from '@bilberryworks/users-platform'
import type { Platform, PlatformFailure, TableRow } from './platform.ts'
import { LifecycleState } from '@bilberryworks/steering'
import { createStoreClient, decodeRouting, decodeTarget, operatorTable, parseJsonRow, routingKey, StoreFailureKind, targetTable } from '@bilberryworks/users-platform'
import { err, ok } from 'neverthrow'
import { PlatformFailureKind } from './platform.ts'
import { createTableCopy } from './table_copy.ts'

/** Timeout of a call that sets none, in milliseconds: several times the response time that the platform documents. */
const defaultTimeoutMs = 2_000
/** Largest number of connections of a target whose service sets none: the smallest limit that the platform documents. */
const defaultMaxConnections = 330

/** Options of {@linkcode createStorePlatform}. */
export interface CreateStorePlatformOptions {
  /** Region by failure domain. A failure domain that is missing here forms a region of its own. */
  regions?: Record<string, string>
  /** Local address of connections; chosen by the operating system by default. */
  localAddress?: string
}

/** A platform client that owns connections. */
export interface StorePlatform extends Platform, AsyncDisposable {}

/**
 * Creates a client of the platform.
 *
 * The timeout of a call is 2 seconds by default.
 *
 * @param baseUrl Origin of the store: `http://host:port`
 * @param options The regions and the options of the connections
 * @returns The client; dispose it to close its connections
 */
export function createStorePlatform (baseUrl: string, options: CreateStorePlatformOptions = {}): StorePlatform {
  const { regions = {}, localAddress } = options
  const store = createStoreClient(parseBaseUrl(baseUrl), localAddress === undefined ? {} : { localAddress })
  const targets = createTableCopy(store, targetTable)
  const operators = createTableCopy(store, operatorTable)

  return {
    async readRow (table, key, { timeoutMs = defaultTimeoutMs } = {}) {
      const reply = await store.readRows(table, { from: key, to: `${key}\u0000`, timeoutMs })
      return reply.map(({ rows }) => rows.flatMap(decodeRow)[0]).mapErr(describeFailure)
    },
    async listRows (table, prefix, { timeoutMs = defaultTimeoutMs } = {}) {
      const range = prefix === '' ? {} : { from: prefix, to: computePrefixEnd(prefix) }
      const reply = await store.readRows(table, { ...range, timeoutMs })
      return reply.map(({ rows }) => rows.flatMap(decodeRow)).mapErr(describeFailure)
    },
    async writeRows (writes, { timeoutMs = defaultTimeoutMs } = {}) {
      const encoded = writes.map(({ value, ...write }) => ({ ...write, ...value === undefined ? {} : { text: JSON.stringify(value) } }))
      return (await store.writeRows(encoded, { timeoutMs })).mapErr(describeFailure)
    },
    async readObject (name, { timeoutMs = defaultTimeoutMs } = {}) {
      return (await store.readObject(name, { timeoutMs })).mapErr(describeFailure)
    },
    async writeObject (name, content, { timeoutMs = defaultTimeoutMs } = {}) {
      return (await store.writeObject(name, content, { timeoutMs })).mapErr(describeFailure)
    },
    async listMachines ({ timeoutMs = defaultTimeoutMs } = {}) {
      const [targetRows, operatorRows] = await Promise.all([targets.refresh({ timeoutMs }), operators.refresh({ timeoutMs })])
      if (targetRows.isErr()) return err(describeFailure(targetRows.error))
      if (operatorRows.isErr()) return err(describeFailure(operatorRows.error))
      const services = decodeRouting(parseJsonRow(operatorRows.value.get(routingKey)))?.services
      const records: TargetRecord[] = []
      for (const [id, text] of targetRows.value) {
        const target = decodeTarget(id, parseJsonRow(text))
        if (target !== undefined) records.push(createTargetRecord(target, { regions, maxConnections: services?.get(target.service)?.maxConnections }))
      }
      // The platform lists only targets. Instances discover each other by the rows that they write themselves.
      return ok({ instances: [], targets: records })
    },
    [Symbol.asyncDispose]: () => store[Symbol.asyncDispose]()
  }
}

function parseBaseUrl (baseUrl: string): SocketAddress {
  const { hostname, port } = new URL(baseUrl)
  return { host: hostname, port: Number(port === '' ? 80 : port) }
}

/** Returns the smallest string above all keys with the prefix, by incrementing its last character. Prefixes here end in an ASCII character, which can be incremented. */
function computePrefixEnd (prefix: string): string {
  return prefix.slice(0, -1) + String.fromCodePoint(prefix.codePointAt(prefix.length - 1)! + 1)
}

/** Decodes a row. A row whose value is not valid JSON counts as absent, as it does for the other clients of the platform. */
function decodeRow ({ key, text, version }: StoreRow): TableRow[] {
  const value = parseJsonRow(text)
  return value === undefined ? [] : [{ key, version, value }]
}

function createTargetRecord (target: ServingTarget, options: { regions: Record<string, string>, maxConnections: number | undefined }): TargetRecord {
  const { id, service, address, failureDomain, slots, leaving } = target
  const { maxConnections = defaultMaxConnections } = options
  return {
    target: id,
    service,
    address: `${address.host}:${address.port}`,
    failureDomain,
    region: options.regions[failureDomain] ?? failureDomain,
    slots,
    maxConnections: Number.isFinite(maxConnections) ? maxConnections : defaultMaxConnections,
    state: leaving ? LifecycleState.Leaving : LifecycleState.Live
  }
}

const platformKindByStoreKind: Record<StoreFailureKind, PlatformFailureKind> = {
  [StoreFailureKind.Refused]: PlatformFailureKind.Unavailable,
  [StoreFailureKind.HistoryGone]: PlatformFailureKind.Unavailable,
  [StoreFailureKind.Missing]: PlatformFailureKind.Unknown,
  [StoreFailureKind.Conflict]: PlatformFailureKind.Conflict,
  [StoreFailureKind.NoResponse]: PlatformFailureKind.Unknown
}

function describeFailure ({ kind, detail, conflicts }: StoreFailure): PlatformFailure {
  return { kind: platformKindByStoreKind[kind], detail, ...conflicts === undefined ? {} : { conflicts } }
}
