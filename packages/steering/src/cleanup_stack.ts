/**
 * A collection of resources that are disposed together, last first; Node.js 20 has no `AsyncDisposableStack`.
 *
 * @module
 */

/** Resources to dispose together, in the reverse order of their addition. */
export interface CleanupStack extends AsyncDisposable {
  /** Adds a resource and returns it. */
  add<T extends AsyncDisposable> (resource: T): T
}

/**
 * Creates an empty collection.
 *
 * @returns The collection; dispose it to dispose all that was added, last first
 */
export function createCleanupStack (): CleanupStack {
  const resources: AsyncDisposable[] = []
  return {
    add (resource) {
      resources.push(resource)
      return resource
    },
    async [Symbol.asyncDispose] () {
      for (const resource of resources.splice(0).reverse()) await resource[Symbol.asyncDispose]()
    }
  }
}
