/** Items by name, each created on first access. */
export interface LazyMap<T> {
  /** Returns an item, which it creates if there is none. */
  get: (name: string) => T
  /** Lists the names of the items. */
  list: () => string[]
}

/** Creates a map that creates each item on first access. */
export function createLazyMap<T> (create: () => T): LazyMap<T> {
  const items = new Map<string, T>()
  return {
    get (name) {
      const item = items.get(name) ?? create()
      items.set(name, item)
      return item
    },
    list: () => [...items.keys()]
  }
}
