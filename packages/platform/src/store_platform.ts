/**
 * The platform by the calls of the users' store.
 *
 * @module
 */
import type { ServingTarget, SocketAddress, TargetRecord } from '@bilberryworks/steering'
import type { StoreFailure, StoreRow } from '@bilberryworks/users-platform'
import type { Platform, PlatformFailure, TableRow } from './platform.ts'
import { MachineState } from '@bilberryworks/steering'
import { createStoreClient, decodeRouting, decodeTarget, operatorTable, parseJsonRow, routingKey, StoreFailureKind, targetTable } from '@bilberryworks/users-platform'
import { err, ok } from 'neverthrow'
import { PlatformFailureKind } from './platform.ts'
import { createTableCopy } from './table_copy.ts'

/** Time after which a call is given up that names no other, in milliseconds: several times what the platform's pages state for an answer. */
const defaultTimeoutMs = 2_000
/** Connections of a target whose service states none: as many as the smallest that the platform's pages state. */
const defaultMaxConnections = 330

/** Options of {@linkcode createStorePlatform}. */
export interface CreateStorePlatformOptions {
  /** Region of each failure domain; one that is missing is a region by itself. */
  regions?: Record<string, string>
  /** Local address of connections; the system's choice by default. */
  localAddress?: string
}

/** A platform client that owns connections. */
export interface StorePlatform extends Platform, AsyncDisposable {}

/**
 * Creates a client of the platform.
 *
 * Times out after 2 seconds where a call names no other time.
 *
 * @param baseUrl `http://host:port` of the store
 * @param options Regions, and where connections start
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
        if (target !== undefined) records.push(createRecord(target, { regions, maxConnections: services?.get(target.service)?.maxConnections }))
      }
      // The platform lists targets only; instances know of each other by their own rows.
      return ok({ instances: [], targets: records })
    },
    [Symbol.asyncDispose]: () => store[Symbol.asyncDispose]()
  }
}

function parseBaseUrl (baseUrl: string): SocketAddress {
  const { hostname, port } = new URL(baseUrl)
  return { host: hostname, port: Number(port === '' ? 80 : port) }
}

/** The smallest key that is greater than each key with the prefix; prefixes here end in a character that has a next one. */
function computePrefixEnd (prefix: string): string {
  return prefix.slice(0, -1) + String.fromCodePoint(prefix.codePointAt(prefix.length - 1)! + 1)
}

/** A row that can't be read counts as absent, as for the other side of the platform. */
function decodeRow ({ key, text, version }: StoreRow): TableRow[] {
  const value = parseJsonRow(text)
  return value === undefined ? [] : [{ key, version, value }]
}

function createRecord (target: ServingTarget, limits: { regions: Record<string, string>, maxConnections: number | undefined }): TargetRecord {
  const { id, service, address, failureDomain, slots, leaving } = target
  const { maxConnections = defaultMaxConnections } = limits
  return {
    target: id,
    service,
    address: `${address.host}:${address.port}`,
    failureDomain,
    region: limits.regions[failureDomain] ?? failureDomain,
    slots,
    maxConnections: Number.isFinite(maxConnections) ? maxConnections : defaultMaxConnections,
    state: leaving ? MachineState.Leaving : MachineState.Live
  }
}

const platformKinds: Record<StoreFailureKind, PlatformFailureKind> = {
  [StoreFailureKind.Refused]: PlatformFailureKind.Unavailable,
  [StoreFailureKind.HistoryGone]: PlatformFailureKind.Unavailable,
  [StoreFailureKind.Missing]: PlatformFailureKind.Unknown,
  [StoreFailureKind.Conflict]: PlatformFailureKind.Conflict,
  [StoreFailureKind.NoAnswer]: PlatformFailureKind.Unknown
}

function describeFailure ({ kind, detail, conflicts }: StoreFailure): PlatformFailure {
  return { kind: platformKinds[kind], detail, ...conflicts === undefined ? {} : { conflicts } }
}
