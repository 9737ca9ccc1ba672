/**
 * Compares two JSON values and lists the differences by JSON pointer.
 *
 * @module
 */

/** A difference between two JSON values. */
export interface Difference {
  /** JSON pointer to the differing value. */
  pointer: string
  /** Value in the earlier document; absent if it has none at the pointer. */
  before?: unknown
  /** Value in the later document; absent if it has none at the pointer. */
  after?: unknown
}

/**
 * Lists the differences between two JSON documents.
 *
 * Arrays of equal length are compared element by element; arrays of different lengths are one difference.
 *
 * @param before The earlier document
 * @param after The later document
 * @returns The differences, sorted by key; empty if the documents are equal
 */
export function diffDocuments (before: unknown, after: unknown): Difference[] {
  return collectDifferences('', { before, after })
}

function collectDifferences (pointer: string, { before, after }: { before: unknown, after: unknown }): Difference[] {
  if (Object.is(before, after)) return []
  const beforeFields = listFields(before)
  const afterFields = listFields(after)
  const isComparable = beforeFields !== undefined && afterFields !== undefined && Array.isArray(before) === Array.isArray(after)
  if (!isComparable || (Array.isArray(before) && beforeFields.size !== afterFields.size)) return [createDifference(pointer, { before, after })]
  const keys = [...new Set([...beforeFields.keys(), ...afterFields.keys()])].sort()
  return keys.flatMap(key => {
    const childPointer = `${pointer}/${key.replaceAll('~', '~0').replaceAll('/', '~1')}`
    return collectDifferences(childPointer, { before: beforeFields.get(key), after: afterFields.get(key) })
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
