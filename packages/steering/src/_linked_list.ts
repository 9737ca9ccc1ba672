/**
 * A doubly linked list that adds at the end and removes any node in constant time.
 *
 * @module
 */

/** A node of a {@linkcode LinkedList}. */
export interface ListNode<T> {
  /** Value of the node. */
  value: T
  /** Node before this one; `undefined` for the first node. */
  previous: ListNode<T> | undefined
  /** Node after this one; `undefined` for the last node. */
  next: ListNode<T> | undefined
}

/** A doubly linked list. */
export interface LinkedList<T> {
  /** First node; `undefined` if the list is empty. */
  first: ListNode<T> | undefined
  /** Last node; `undefined` if the list is empty. */
  last: ListNode<T> | undefined
  /** Number of nodes. */
  length: number
}

/**
 * Creates an empty list.
 *
 * @returns The empty list
 */
export function createList<T> (): LinkedList<T> {
  return { first: undefined, last: undefined, length: 0 }
}

/**
 * Appends a value to a list.
 *
 * @param list The list, which is changed
 * @param value The value to append
 * @returns The new last node
 */
export function addLast<T> (list: LinkedList<T>, value: T): ListNode<T> {
  const node: ListNode<T> = { value, previous: list.last, next: undefined }
  if (list.last === undefined) list.first = node
  else list.last.next = node
  list.last = node
  list.length++
  return node
}

/**
 * Removes a node from its list.
 *
 * @param list The list that holds the node; it is changed
 * @param node The node to remove
 */
export function removeNode<T> (list: LinkedList<T>, node: ListNode<T>): void {
  if (node.previous === undefined) list.first = node.next
  else node.previous.next = node.next
  if (node.next === undefined) list.last = node.previous
  else node.next.previous = node.previous
  list.length--
}
