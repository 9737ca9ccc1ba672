/**
 * Parses JSON of another program, bounded in the values that it holds.
 *
 * @module
 */

const openBrace = 0x7b
const openBracket = 0x5b
const comma = 0x2c

/**
 * Parses JSON if it has no more than a number of values.
 *
 * A value takes some tens of bytes of the heap, however short it is, so that a bound on the size of the text is none on that of the result.
 * Objects, arrays and commas are counted, also those within texts.
 *
 * @param bytes The JSON, in UTF-8
 * @param maxValues Maximum number of objects, arrays and commas
 * @returns The parsed value
 * @throws {RangeError} If there are more values
 * @throws {SyntaxError} If it is not JSON
 */
export function parseBoundedJson (bytes: Uint8Array, maxValues: number): unknown {
  let values = 0
  // Without the iterator, which takes several times as long.
  for (let index = 0; index < bytes.length; index++) {
    const byte = bytes[index]
    if (byte === openBrace || byte === openBracket || byte === comma) values++
  }
  if (values > maxValues) throw new RangeError(`JSON has ${values} values; the limit is ${maxValues}`)
  return JSON.parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8'))
}
