/**
 * Disposes several things in the reverse order of their making; Node.js 20 has no `AsyncDisposableStack`.
 *
 * @module
 */

/** Things to dispose together. */
export interface CleanupStack extends AsyncDisposable {
  /** Adds a thing and returns it. */
  add<T extends AsyncDisposable> (thing: T): T
}

/**
 * Creates an empty collection.
 *
 * @returns The collection; dispose it to dispose all that was added, last first
 */
export function createCleanupStack (): CleanupStack {
  const things: AsyncDisposable[] = []
  return {
    add (thing) {
      things.push(thing)
      return thing
    },
    async [Symbol.asyncDispose] () {
      for (const thing of things.splice(0).reverse()) await thing[Symbol.asyncDispose]()
    }
  }
}
