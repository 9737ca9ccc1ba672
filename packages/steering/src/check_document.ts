/**
 * Checks a document: its form by schema, then what it asks for against what is known.
 *
 * @module
 */
import type { ErrorObject } from 'ajv'
import type { Result } from 'neverthrow'
import type { ServiceDocument } from './document.ts'
import type { TargetRecord } from './inventory.ts'
import { Ajv } from 'ajv'
import { err, ok } from 'neverthrow'
import { documentSchema } from './document_schema.ts'
import { MachineState } from './inventory.ts'
import { computeMovedShare, computeShares, minMovedShare } from './weight_ramp.ts'

/** One thing that is wrong with a document. */
export interface DocumentFinding {
  /** JSON pointer to the place. */
  pointer: string
  /** What is wrong and what is allowed. */
  message: string
}

/** What a document is checked against beside its schema. */
export interface CheckDocumentOptions {
  /** Name of the service that it is submitted for; not compared where absent. */
  service?: string
  /** The document in force; `undefined` where there is none. */
  current?: ServiceDocument | undefined
  /** Targets known of all services; whether weights can be served is not checked where it is empty. */
  targets?: TargetRecord[]
}

const checkSchema = new Ajv({ allErrors: true }).compile<ServiceDocument>(documentSchema)

/**
 * Checks a document.
 *
 * @param value The parsed JSON value
 * @param options What is known
 * @returns The document, or every finding
 * @example
 * ```ts
 * checkDocument({}).mapErr(findings => findings.map(finding => finding.pointer))
 * ```
 */
export function checkDocument (value: unknown, options: CheckDocumentOptions = {}): Result<ServiceDocument, DocumentFinding[]> {
  if (!checkSchema(value)) return err(collectSchemaFindings(checkSchema.errors ?? []))
  const findings = [...checkService(value, options), ...checkWeights(value, options), ...checkCap(value, options)]
  return findings.length > 0 ? err(findings) : ok(value)
}

function collectSchemaFindings (errors: ErrorObject[]): DocumentFinding[] {
  const findings = new Map<string, DocumentFinding>()
  for (const error of errors) {
    const finding = describeError(error)
    findings.set(`${finding.pointer} ${finding.message}`, finding)
  }
  return [...findings.values()]
}

function describeError (error: ErrorObject): DocumentFinding {
  const params = error.params as Record<string, unknown>
  const key = params['additionalProperty'] ?? params['missingProperty'] ?? error.propertyName ?? params['propertyName']
  const pointer = key === undefined ? error.instancePath : formatPointer(error.instancePath, String(key))
  const allowed = Array.isArray(params['allowedValues']) ? `: ${params['allowedValues'].join(', ')}` : ''
  return { pointer, message: describeKeyword(error) ?? `${error.message ?? 'is not allowed'}${allowed}` }
}

function describeKeyword (error: ErrorObject): string | undefined {
  switch (error.keyword) {
    case 'additionalProperties': return 'is an unknown key'
    case 'required': return 'is missing'
    case 'propertyNames': return 'is not a valid name'
    case 'not': return 'is a reserved name'
    default: return undefined
  }
}

/** Adds a key to a JSON pointer. */
function formatPointer (parent: string, key: string): string {
  return `${parent}/${key.replaceAll('~', '~0').replaceAll('/', '~1')}`
}

function checkService (document: ServiceDocument, options: CheckDocumentOptions): DocumentFinding[] {
  if (options.service === undefined || options.service === document.service) return []
  return [{ pointer: '/service', message: `is "${document.service}", but the document is submitted for "${options.service}"` }]
}

function checkWeights (document: ServiceDocument, options: CheckDocumentOptions): DocumentFinding[] {
  const regions = Object.keys(computeShares(document.regionWeights))
  if (regions.length === 0) return [{ pointer: '/regionWeights', message: 'must have a region with a weight above 0' }]
  const targets = options.targets ?? []
  if (targets.length === 0) return []
  const leaving = new Set(document.leavingTargets)
  const served = new Set(targets.filter(target => {
    return target.service === document.service && target.state === MachineState.Live && !leaving.has(target.target)
  }).map(target => target.region))
  return regions.filter(region => !served.has(region)).map(region => ({
    pointer: formatPointer('/regionWeights', region),
    message: `has a weight, but no live target of "${document.service}" is known there`
  }))
}

function checkCap (document: ServiceDocument, options: CheckDocumentOptions): DocumentFinding[] {
  if (document.shiftCap > 0 || options.current === undefined) return []
  const moved = computeMovedShare(computeShares(options.current.regionWeights), computeShares(document.regionWeights))
  return moved < minMovedShare ? [] : [{ pointer: '/shiftCap', message: 'is 0, but the weights change' }]
}
