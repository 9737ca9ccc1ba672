/**
 * A doubly linked list, from which any element is removed in constant time.
 *
 * @module
 */

/** An element of a list. */
export interface ListNode<T> {
  /** The value. */
  value: T
  /** The element before it. */
  previous: ListNode<T> | undefined
  /** The element behind it. */
  next: ListNode<T> | undefined
}

/** A list. */
export interface LinkedList<T> {
  /** The first element. */
  first: ListNode<T> | undefined
  /** The last element. */
  last: ListNode<T> | undefined
  /** Number of elements. */
  length: number
}

/**
 * Creates an empty list.
 *
 * @returns The list
 */
export function createList<T> (): LinkedList<T> {
  return { first: undefined, last: undefined, length: 0 }
}

/**
 * Adds a value at the end of a list.
 *
 * @param list The list
 * @param value The value
 * @returns The new element
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
 * Removes an element from its list.
 *
 * @param list The list that holds the element
 * @param node The element
 */
export function removeNode<T> (list: LinkedList<T>, node: ListNode<T>): void {
  if (node.previous === undefined) list.first = node.next
  else node.previous.next = node.next
  if (node.next === undefined) list.last = node.previous
  else node.next.previous = node.previous
  list.length--
}
