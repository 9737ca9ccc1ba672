/**
 * A queue that serves callers round robin and finds an item to evict: the last one of the caller with the most items.
 *
 * @module
 */
import type { LinkedList, ListNode } from './_linked_list.ts'
import { addLast, createList, removeNode } from './_linked_list.ts'

/** An item of a fair queue. */
export interface FairItem {
  /** Identifier of the item, unique in the queue. */
  requestId: string
  /** Key that identifies the caller of the item. */
  callerKey: string
}

/** A queue of items that is fair between callers; each operation except `list` takes constant time. */
export interface FairQueue<T extends FairItem> {
  /** Appends an item to those of its caller. */
  add (item: T): void
  /** Removes and returns the first item of the next caller in turn; `undefined` if the queue is empty. */
  take (): T | undefined
  /** Removes an item and returns it; `undefined` if it is not in the queue. */
  remove (requestId: string): T | undefined
  /** Returns the last item of the caller that has the most items; `undefined` if the queue is empty. */
  findEvictionCandidate (): T | undefined
  /** Returns the number of items. */
  count (): number
  /** Returns the number of items of a caller. */
  countForCaller (callerKey: string): number
  /** Returns the number of callers that have items. */
  countCallers (): number
  /** Lists the items in the order in which `take` would return them. */
  list (): T[]
}

/**
 * Creates an empty fair queue.
 *
 * @returns The empty queue
 */
export function createFairQueue<T extends FairItem> (): FairQueue<T> {
  /** Items by caller; the keys are in the order in which the callers are served. */
  const listsByCaller = new Map<string, LinkedList<T>>()
  const nodesByRequestId = new Map<string, ListNode<T>>()
  /** Callers by number of items, to find a caller with the most items in constant time. */
  const callersByLength = new Map<number, Set<string>>()
  let maxLength = 0

  function recordLength (caller: string, before: number, after: number): void {
    const previousGroup = callersByLength.get(before)
    previousGroup?.delete(caller)
    if (previousGroup?.size === 0) callersByLength.delete(before)
    if (after > 0) {
      const group = callersByLength.get(after) ?? new Set()
      callersByLength.set(after, group.add(caller))
    }
    maxLength = Math.max(maxLength, after)
    while (maxLength > 0 && !callersByLength.has(maxLength)) maxLength--
  }

  function removeItem (list: LinkedList<T>, node: ListNode<T>): T {
    const caller = node.value.callerKey
    removeNode(list, node)
    nodesByRequestId.delete(node.value.requestId)
    recordLength(caller, list.length + 1, list.length)
    if (list.length === 0) listsByCaller.delete(caller)
    return node.value
  }

  return {
    add (item) {
      const list = listsByCaller.get(item.callerKey) ?? createList<T>()
      listsByCaller.set(item.callerKey, list)
      nodesByRequestId.set(item.requestId, addLast(list, item))
      recordLength(item.callerKey, list.length - 1, list.length)
    },
    take () {
      const [entry] = listsByCaller
      if (entry === undefined) return undefined
      const [caller, list] = entry
      const item = removeItem(list, list.first!)
      if (list.length > 0) {
        listsByCaller.delete(caller)
        listsByCaller.set(caller, list)
      }
      return item
    },
    remove (requestId) {
      const node = nodesByRequestId.get(requestId)
      if (node === undefined) return undefined
      return removeItem(listsByCaller.get(node.value.callerKey)!, node)
    },
    findEvictionCandidate () {
      const [caller] = callersByLength.get(maxLength) ?? []
      return caller === undefined ? undefined : listsByCaller.get(caller)?.last?.value
    },
    count: () => nodesByRequestId.size,
    countForCaller: caller => listsByCaller.get(caller)?.length ?? 0,
    countCallers: () => listsByCaller.size,
    list: () => listRoundRobin([...listsByCaller.values()])
  }
}

function listRoundRobin<T> (lists: Array<LinkedList<T>>): T[] {
  const items: T[] = []
  let heads = lists.map(list => list.first)
  while (heads.length > 0) {
    for (const node of heads) if (node !== undefined) items.push(node.value)
    heads = heads.map(node => node?.next).filter(node => node !== undefined)
  }
  return items
}
