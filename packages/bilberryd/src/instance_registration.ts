/**
 * Registers an instance on the platform: writes its heartbeat row and reads the rows of all instances.
 *
 * Each incarnation has its own row, so that a process that resumes after a pause can't overwrite the row of its successor.
 * The start count orders the incarnations under one instance name.
 *
 * @module
 */
import type { Platform, TableRow } from '@bilberryworks/platform'
import type { InstanceRecord, LifecycleState } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { TableName, writeWithIndex } from '@bilberryworks/platform'
import { checkOwnName, OwnNameDecision } from '@bilberryworks/steering'

const staleRowMs = 300_000

/** Options of {@linkcode createInstanceRegistration}. */
export interface CreateInstanceRegistrationOptions {
  /** The instance's view of the cluster. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Returns the instance record of this instance, with the next sequence number. */
  createInstanceRecord: () => InstanceRecord
  /** Called once when a later incarnation with the same instance name is found. */
  recordSuperseded: () => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Registration of an instance on the platform. */
export interface InstanceRegistration {
  /** Creates the next instance record, with the start count of this incarnation. */
  createRecord (): InstanceRecord
  /** Writes the heartbeat row; resolves to whether the write succeeded. */
  writeHeartbeat (): Promise<boolean>
  /** Reads and merges the rows of all instances and deletes stale ones; resolves to whether the read succeeded. */
  readInstances (): Promise<boolean>
  /** Merges an instance record into the view. The instance record of another incarnation of this instance may also raise this incarnation's start count or supersede this incarnation. */
  mergeInstance (record: InstanceRecord, ageMs?: number): void
}

/**
 * Creates the registration of an instance.
 *
 * @param options The platform, the view and the source of instance records
 * @returns The registration
 */
export function createInstanceRegistration (options: CreateInstanceRegistrationOptions): InstanceRegistration {
  const { view, platform } = options
  const observedRows = new Map<string, { version: number, unchangedSinceMs: number }>()
  let start = 1
  let isStartConfirmed = false
  let isSuperseded = false
  let writtenState: LifecycleState | undefined

  function createRecord (): InstanceRecord {
    return { ...options.createInstanceRecord(), start }
  }

  function mergeInstance (record: InstanceRecord, ageMs = 0): void {
    view.mergeInstance(record, ageMs)
    const own = createRecord()
    if (record.instance !== own.instance) return
    switch (checkOwnName({ ...own, start, isConfirmed: isStartConfirmed }, record)) {
      case OwnNameDecision.RaiseStart:
        start = (record.start ?? 0) + 1
        break
      case OwnNameDecision.Superseded:
        if (!isSuperseded) options.recordSuperseded()
        isSuperseded = true
        break
      case OwnNameDecision.Ignore: break
    }
  }

  /** Claims a start count above those of all other incarnations with this name and deletes the rows of those incarnations. */
  async function claimStartCount (): Promise<boolean> {
    const own = createRecord()
    const rows = await platform.listRows(TableName.Instances, `${own.instance}/`)
    if (rows.isErr()) return false
    const otherRows = rows.value.filter(row => (row.value as InstanceRecord).incarnation !== own.incarnation)
    const newStartCount = Math.max(start, ...otherRows.map(row => ((row.value as InstanceRecord).start ?? 0) + 1))
    const record = { ...own, start: newStartCount }
    const written = await writeWithIndex(platform, [
      { table: TableName.Instances, key: formatInstanceKey(record), value: record },
      { table: TableName.Starts, key: record.instance, value: { start: newStartCount } },
      ...otherRows.map(row => ({ table: TableName.Instances, key: row.key, ifVersion: row.version }))
    ], index => ({ ...index, members: index.members + 1 }))
    if (written.isErr()) return false
    start = newStartCount
    isStartConfirmed = true
    return true
  }

  async function writeRow (): Promise<boolean> {
    const record = createRecord()
    const write = { table: TableName.Instances, key: formatInstanceKey(record), value: record }
    const hasStateChanged = record.state !== writtenState
    const written = hasStateChanged
      ? await writeWithIndex(platform, [write], index => ({ ...index, members: index.members + 1 }))
      : await platform.writeRows([write])
    if (written.isOk()) writtenState = record.state
    return written.isOk()
  }

  /** Deletes a row whose version has not changed for `staleRowMs`. */
  async function removeStaleRow (row: TableRow): Promise<void> {
    const nowMs = options.getNowMs()
    const known = observedRows.get(row.key)
    if (known?.version !== row.version) observedRows.set(row.key, { version: row.version, unchangedSinceMs: nowMs })
    else if (nowMs - known.unchangedSinceMs > staleRowMs) {
      observedRows.delete(row.key)
      await platform.writeRows([{ table: TableName.Instances, key: row.key, ifVersion: row.version }])
    }
  }

  return {
    createRecord,
    mergeInstance,
    async writeHeartbeat () {
      view.mergeInstance(createRecord())
      if (!isStartConfirmed) {
        if (!await claimStartCount()) return false
        writtenState = options.createInstanceRecord().state
        return true
      }
      return writeRow()
    },
    async readInstances () {
      const rows = await platform.listRows(TableName.Instances, '')
      if (rows.isErr()) return false
      for (const row of rows.value) {
        mergeInstance(row.value as InstanceRecord)
        await removeStaleRow(row)
      }
      const presentKeys = new Set(rows.value.map(row => row.key))
      for (const key of observedRows.keys()) {
        if (!presentKeys.has(key)) observedRows.delete(key)
      }
      return true
    }
  }
}

/**
 * Formats the key of the heartbeat row of an incarnation.
 *
 * @param record The instance record
 * @returns The key
 */
export function formatInstanceKey (record: InstanceRecord): string {
  return `${record.instance}/${record.incarnation}`
}
