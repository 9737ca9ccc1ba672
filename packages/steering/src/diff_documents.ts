/**
 * The difference between two JSON values, by JSON pointer.
 *
 * @module
 */

/** One place at which two values differ. */
export interface Difference {
  /** JSON pointer to the place. */
  pointer: string
  /** Value there before; absent where there was none. */
  before?: unknown
  /** Value there after; absent where there is none. */
  after?: unknown
}

/**
 * Lists the places at which two documents differ.
 *
 * Arrays are compared whole where their lengths differ, else element by element.
 *
 * @param before The earlier value
 * @param after The later value
 * @returns The places, in the order of their keys; empty where the values are equal
 */
export function diffDocuments (before: unknown, after: unknown): Difference[] {
  return collectDifferences('', { before, after })
}

function collectDifferences (pointer: string, { before, after }: { before: unknown, after: unknown }): Difference[] {
  if (Object.is(before, after)) return []
  const left = listFields(before)
  const right = listFields(after)
  const comparable = left !== undefined && right !== undefined && Array.isArray(before) === Array.isArray(after)
  if (!comparable || (Array.isArray(before) && left.size !== right.size)) return [createDifference(pointer, { before, after })]
  const keys = [...new Set([...left.keys(), ...right.keys()])].sort()
  return keys.flatMap(key => {
    const place = `${pointer}/${key.replaceAll('~', '~0').replaceAll('/', '~1')}`
    return collectDifferences(place, { before: left.get(key), after: right.get(key) })
  })
}

function createDifference (pointer: string, { before, after }: { before: unknown, after: unknown }): Difference {
  const difference: Difference = { pointer }
  if (before !== undefined) difference.before = before
  if (after !== undefined) difference.after = after
  return difference
}

function listFields (value: unknown): Map<string, unknown> | undefined {
  return typeof value === 'object' && value !== null ? new Map(Object.entries(value)) : undefined
}
