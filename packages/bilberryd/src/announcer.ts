/**
 * The announcements of an instance on the platform: heartbeat rows, ordered by start counts.
 *
 * A heartbeat is compared and set, so that an earlier incarnation that wakes up never overwrites a later one's row.
 *
 * @module
 */
import type { Platform, TableRow } from '@bilberryworks/platform'
import type { InstanceRecord, MachineState } from '@bilberryworks/steering'
import type { View } from './view.ts'
import { TableName, writeWithIndex } from '@bilberryworks/platform'
import { checkOwnName, OwnNameDecision } from '@bilberryworks/steering'

const staleRowMs = 300_000

/** Options of {@linkcode createAnnouncer}. */
export interface CreateAnnouncerOptions {
  /** What the instance knows. */
  view: View
  /** The platform. */
  platform: Platform
  /** Returns this instance's announcement, with its next sequence number. */
  createAnnouncement: () => InstanceRecord
  /** Called once where a later incarnation runs under this instance's name. */
  recordSuperseded: () => void
  /** Called with the time at which a heartbeat was sent that the platform acknowledged. */
  recordHeartbeat: (sentAtMs: number) => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The announcements of an instance. */
export interface Announcer {
  /** Returns the announcement with its start count. */
  createRecord (): InstanceRecord
  /** Writes the heartbeat row; resolves to whether the platform answered. */
  writeHeartbeat (): Promise<boolean>
  /** Reads the rows of all instances; resolves to whether the platform answered. */
  readInstances (): Promise<boolean>
  /** Takes an announcement over, and minds those under the own name. */
  mergeInstance (record: InstanceRecord, ageMs?: number): void
}

/**
 * Creates the announcements of an instance.
 *
 * @param options The platform and the announcement
 * @returns The announcer
 */
export function createAnnouncer (options: CreateAnnouncerOptions): Announcer {
  const { view, platform } = options
  const rowAges = new Map<string, { version: number, sinceMs: number }>()
  let start = 1
  let confirmed = false
  let superseded = false
  let writtenState: MachineState | undefined

  function createRecord (): InstanceRecord {
    return { ...options.createAnnouncement(), start }
  }

  function mergeInstance (record: InstanceRecord, ageMs = 0): void {
    view.mergeInstance(record, ageMs)
    const own = createRecord()
    if (record.instance !== own.instance) return
    switch (checkOwnName({ ...own, start, confirmed }, record)) {
      case OwnNameDecision.RaiseStart:
        start = (record.start ?? 0) + 1
        break
      case OwnNameDecision.Superseded:
        if (!superseded) options.recordSuperseded()
        superseded = true
        break
      case OwnNameDecision.Ignore: break
    }
  }

  /** Writes the heartbeat over a row that was read; a row of another incarnation must be an earlier one's. */
  async function writeRow (stored: TableRow | undefined): Promise<boolean> {
    const record = createRecord()
    const write = { table: TableName.Instances, key: record.instance, ifVersion: stored?.version ?? 0, value: record }
    const sentAtMs = options.getNowMs()
    const written = record.state === writtenState
      ? await platform.writeRows([write])
      : await writeWithIndex(platform, [write], index => ({ ...index, members: index.members + 1 }))
    if (written.isErr()) return false
    confirmed = true
    writtenState = record.state
    options.recordHeartbeat(sentAtMs)
    return true
  }

  /** Removes a row that has not changed for long. */
  async function removeStaleRow (row: TableRow): Promise<void> {
    const nowMs = options.getNowMs()
    const known = rowAges.get(row.key)
    if (known?.version !== row.version) rowAges.set(row.key, { version: row.version, sinceMs: nowMs })
    else if (nowMs - known.sinceMs > staleRowMs) {
      rowAges.delete(row.key)
      await platform.writeRows([{ table: TableName.Instances, key: row.key, ifVersion: row.version }])
    }
  }

  return {
    createRecord,
    mergeInstance,
    async writeHeartbeat () {
      const own = createRecord()
      view.mergeInstance(own)
      const stored = await platform.readRow(TableName.Instances, own.instance)
      if (stored.isErr()) return false
      const other = stored.value?.value as InstanceRecord | undefined
      if (other !== undefined) mergeInstance(other)
      return superseded ? false : writeRow(stored.value)
    },
    async readInstances () {
      const rows = await platform.listRows(TableName.Instances, '')
      if (rows.isErr()) return false
      for (const row of rows.value) {
        mergeInstance(row.value as InstanceRecord)
        await removeStaleRow(row)
      }
      const present = new Set(rows.value.map(row => row.key))
      for (const key of rowAges.keys()) {
        if (!present.has(key)) rowAges.delete(key)
      }
      return true
    }
  }
}
