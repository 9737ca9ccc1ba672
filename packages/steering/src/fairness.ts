/**
 * A queue that is fair between callers: each takes its turn, and the longest gives way first.
 *
 * @module
 */
import type { LinkedList, ListNode } from './_linked_list.ts'
import { addLast, createList, removeNode } from './_linked_list.ts'

/** What a fair queue must know of an item. */
export interface FairItem {
  /** Identifies the item. */
  requestId: string
  /** Identifies its caller. */
  callerKey: string
}

/** A queue of the items of many callers; each operation takes constant time. */
export interface FairQueue<T extends FairItem> {
  /** Adds an item behind those of its caller. */
  add (item: T): void
  /** Takes the first item of the caller whose turn it is. */
  take (): T | undefined
  /** Removes an item; returns it where it was there. */
  remove (requestId: string): T | undefined
  /** Finds the last item of the caller that has the most. */
  findEvictionCandidate (): T | undefined
  /** Counts the items. */
  count (): number
  /** Counts the items of a caller. */
  countForCaller (callerKey: string): number
  /** Counts the callers that have items. */
  countCallers (): number
  /** Lists the items, first those whose turn comes first. */
  list (): T[]
}

/**
 * Creates an empty fair queue.
 *
 * @returns The queue
 */
export function createFairQueue<T extends FairItem> (): FairQueue<T> {
  /** Items by caller; the order of the keys is the order of the turns. */
  const callers = new Map<string, LinkedList<T>>()
  const nodes = new Map<string, ListNode<T>>()
  /** Callers by the number of their items. */
  const byLength = new Map<number, Set<string>>()
  let longest = 0

  function recordLength (caller: string, before: number, after: number): void {
    const old = byLength.get(before)
    old?.delete(caller)
    if (old?.size === 0) byLength.delete(before)
    if (after > 0) {
      const group = byLength.get(after) ?? new Set()
      byLength.set(after, group.add(caller))
    }
    longest = Math.max(longest, after)
    while (longest > 0 && !byLength.has(longest)) longest--
  }

  function removeItem (list: LinkedList<T>, node: ListNode<T>): T {
    const caller = node.value.callerKey
    removeNode(list, node)
    nodes.delete(node.value.requestId)
    recordLength(caller, list.length + 1, list.length)
    if (list.length === 0) callers.delete(caller)
    return node.value
  }

  return {
    add (item) {
      const list = callers.get(item.callerKey) ?? createList<T>()
      callers.set(item.callerKey, list)
      nodes.set(item.requestId, addLast(list, item))
      recordLength(item.callerKey, list.length - 1, list.length)
    },
    take () {
      const [entry] = callers
      if (entry === undefined) return undefined
      const [caller, list] = entry
      const item = removeItem(list, list.first!)
      if (list.length > 0) {
        callers.delete(caller)
        callers.set(caller, list)
      }
      return item
    },
    remove (requestId) {
      const node = nodes.get(requestId)
      if (node === undefined) return undefined
      return removeItem(callers.get(node.value.callerKey)!, node)
    },
    findEvictionCandidate () {
      const [caller] = byLength.get(longest) ?? []
      return caller === undefined ? undefined : callers.get(caller)?.last?.value
    },
    count: () => nodes.size,
    countForCaller: caller => callers.get(caller)?.length ?? 0,
    countCallers: () => callers.size,
    list: () => listInTurns([...callers.values()])
  }
}

function listInTurns<T> (lists: Array<LinkedList<T>>): T[] {
  const items: T[] = []
  let heads = lists.map(list => list.first)
  while (heads.length > 0) {
    for (const node of heads) if (node !== undefined) items.push(node.value)
    heads = heads.map(node => node?.next).filter(node => node !== undefined)
  }
  return items
}
