/**
 * Builds the timeline of a request from the logs of the instances that handled it.
 *
 * @module
 */
import type { LogLine } from './log_lines.ts'

/** Kind of a step of a timeline. */
export enum StepKind {
  /** An event of the request itself. */
  Decision = 'decision',
  /** State of an instance that handled the request, as that instance knew it. */
  Belief = 'belief',
  /** A later configuration at another instance, or failures of the same target in other requests. */
  Elsewhere = 'elsewhere'
}

/** A step of a timeline. */
export interface TimelineStep {
  /** Time of the event, in milliseconds since the epoch. */
  atMs: number
  /** Instance that logged the event. */
  instance: string
  /** Kind of the step. */
  kind: StepKind
  /** Description of the event, in one line. */
  text: string
}

/** Time before and after a request within which events of its targets and instances are included, in milliseconds: several times the longest silence after which an instance or target counts as failed. */
const contextWindowMs = 10_000
/** Events of an instance that are included if they occur near a request, because they change the state on which the instance decides. */
const contextEvents = new Set(['evacuation', 'reloaded', 'settings_kept', 'standstill', 'started', 'stopping', 'stopped', 'store_lost', 'store_regained', 'table_from_peer', 'targets_silent', 'log_dropped'])
const unreachedEvent = 'targets_unreached'
const reachedEvent = 'targets_reached'
const configEvent = 'config_in_force'

/**
 * Builds the timeline of a request.
 *
 * @param id Identifier of the request
 * @param lines Log lines of all instances, in order of time
 * @returns The steps in order of time; empty if no line names the request
 */
export function describeRequest (id: string, lines: LogLine[]): TimelineStep[] {
  const requestLines = lines.filter(line => line.fields['id'] === id)
  const firstLine = requestLines[0]
  const lastLine = requestLines.at(-1)
  if (firstLine === undefined || lastLine === undefined) return []
  const requestSpan = { fromMs: firstLine.atMs - readNumber(lastLine.fields['elapsedMs']), toMs: lastLine.atMs }
  const instances = new Set(requestLines.map(line => line.instance))
  const steps = requestLines.map(line => createStep(line, StepKind.Decision))
  for (const instance of instances) steps.push(...describeConfig(lines, { instance, ...requestSpan }), ...describeContext(lines, { instance, ...requestSpan }), ...describeReach(lines, { instance, ...requestSpan }))
  steps.push(...describeRepeats(lines, lastLine))
  for (const target of listTargets(requestLines)) steps.push(...describeTarget(lines, { id, target, instances, ...requestSpan }))
  return steps.sort((a, b) => a.atMs - b.atMs)
}

interface TimeSpan {
  fromMs: number
  toMs: number
}

/** Describes which configuration the instance had, whether another instance already had a later one, and a change soon after the request. */
function describeConfig (lines: LogLine[], scope: TimeSpan & { instance: string }): TimelineStep[] {
  const { instance, toMs } = scope
  const earlierLines = lines.filter(line => line.event === configEvent && line.atMs <= toMs)
  const heldLine = earlierLines.findLast(line => line.instance === instance)
  if (heldLine === undefined) return [{ atMs: scope.fromMs, instance, kind: StepKind.Belief, text: 'no configuration was in force' }]
  const version = readNumber(heldLine.fields['version'])
  const steps = [createStep(heldLine, StepKind.Belief, `configuration ${version} came in force`)]
  const laterLine = earlierLines.find(line => readNumber(line.fields['version']) > version)
  if (laterLine !== undefined) steps.push(createStep(laterLine, StepKind.Elsewhere, `configuration ${readNumber(laterLine.fields['version'])} came in force here, ${toMs - laterLine.atMs} ms before the end of the request`))
  const nextLine = lines.find(line => line.event === configEvent && line.instance === instance && line.atMs > toMs)
  if (nextLine !== undefined && nextLine.atMs - toMs < contextWindowMs) steps.push(createStep(nextLine, StepKind.Belief, `configuration ${readNumber(nextLine.fields['version'])} came in force, after the request`))
  return steps
}

/** Describes other events of the instance near the request, and an earlier loss of the store if it still lasted during the request. */
function describeContext (lines: LogLine[], scope: TimeSpan & { instance: string }): TimelineStep[] {
  const instanceLines = lines.filter(line => line.instance === scope.instance && contextEvents.has(line.event))
  const lastStoreLine = instanceLines.findLast(line => line.event.startsWith('store_') && line.atMs <= scope.toMs)
  const nearbyLines = instanceLines.filter(line => isWithinContext(line, scope) || (line === lastStoreLine && line.event === 'store_lost'))
  return nearbyLines.map(line => createStep(line, StepKind.Belief))
}

/** Describes to which groups of targets the instance had no network path at the end of the request. */
function describeReach (lines: LogLine[], scope: TimeSpan & { instance: string }): TimelineStep[] {
  const latest = new Map<string, LogLine>()
  for (const line of lines) {
    const isVerdict = line.event === unreachedEvent || line.event === reachedEvent
    if (isVerdict && line.instance === scope.instance && line.atMs <= scope.toMs) latest.set(`${String(line.fields['service'])}/${String(line.fields['failureDomain'])}`, line)
  }
  return [...latest.values()].filter(line => line.event === unreachedEvent).map(line => createStep(line, StepKind.Belief))
}

/** Describes the state of a target as the instances that handled the request knew it, and how the target failed other requests. */
function describeTarget (lines: LogLine[], scope: TimeSpan & { id: string, target: string, instances: Set<string> }): TimelineStep[] {
  const targetLines = lines.filter(line => line.fields['target'] === scope.target && line.fields['id'] !== scope.id)
  const stateLines = targetLines.filter(line => line.fields['id'] === undefined && scope.instances.has(line.instance))
  const lastStateLine = stateLines.findLast(line => line.atMs <= scope.toMs)
  const steps = stateLines.filter(line => line === lastStateLine || isWithinContext(line, scope)).map(line => createStep(line, StepKind.Belief))
  const failureLines = targetLines.filter(line => line.event === 'exchange_failed' && isWithinContext(line, scope))
  const firstFailure = failureLines[0]
  if (firstFailure === undefined) return steps
  const signals = [...new Set(failureLines.map(line => String(line.fields['signal'])))].join(', ')
  return [...steps, createStep(firstFailure, StepKind.Elsewhere, `target ${scope.target} began to fail other requests: ${failureLines.length} at ${new Set(failureLines.map(line => line.instance)).size} instances within ${contextWindowMs / 1_000} s (${signals})`)]
}

/** Describes the targets that ended under repeats of the request, and the decision to send it to no further ones; both are remembered for longer than other state. */
function describeRepeats (lines: LogLine[], lastLine: LogLine): TimelineStep[] {
  const fingerprint = lastLine.fields['fingerprint']
  if (typeof fingerprint !== 'string') return []
  const earlierLines = lines.filter(line => line.atMs <= lastLine.atMs)
  const endLines = earlierLines.filter(line => line.event === 'target_ended' && Object.values(line.fields['requests'] ?? {}).includes(fingerprint))
  const quarantineLines = earlierLines.filter(line => line.event === 'request_quarantined' && line.fields['fingerprint'] === fingerprint && line.instance === lastLine.instance)
  return [
    ...endLines.map(line => createStep(line, StepKind.Elsewhere, `target ${String(line.fields['target'])} ended under the same request`)),
    ...quarantineLines.map(line => createStep(line, StepKind.Belief))
  ]
}

function listTargets (requestLines: LogLine[]): string[] {
  const targets = requestLines.flatMap(({ fields }) => {
    const sends = Array.isArray(fields['sends']) ? fields['sends'] as Array<{ target: string }> : []
    return [fields['target'], ...sends.map(send => send.target)]
  })
  return [...new Set(targets.filter(target => typeof target === 'string'))]
}

function isWithinContext (line: LogLine, { fromMs, toMs }: TimeSpan): boolean {
  return line.atMs >= fromMs - contextWindowMs && line.atMs <= toMs + contextWindowMs
}

function createStep (line: LogLine, kind: StepKind, text = formatLine(line)): TimelineStep {
  return { atMs: line.atMs, instance: line.instance, kind, text }
}

/** Formats the event and its fields without the identifier, which is the same in each line of the request. */
function formatLine ({ event, fields }: LogLine): string {
  const shownFields = Object.entries(fields).filter(([name]) => name !== 'id')
  return [event, ...shownFields.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)].join(' ')
}

function readNumber (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
