import {BoundedLogStream} from '../src/bounded_log_stream';

describe('BoundedLogStream', () => {
  /** Guards against a reader of the log that stops reading and takes the gateway with it. */
  test('a reader that never reads costs bounded memory and is told of the gap', () => {
    const stream = new BoundedLogStream(() => undefined);
    const line = 'x'.repeat(1_000);
    for (let written = 0; written < 1_000; written += 1) stream.write(line);
    const dropped = stream.takeDropped();
    expect(dropped).toBeGreaterThan(700);
    expect(stream.takeDropped()).toBe(0);
  });

  test('lines keep their order and are written one batch at a time', () => {
    const batches: string[] = [];
    let finish: () => void = () => undefined;
    const stream = new BoundedLogStream((text, done) => {
      batches.push(text);
      finish = done;
    });
    for (const line of ['a', 'b', 'c']) stream.write(line);
    expect(batches).toEqual(['a']);
    finish();
    expect(batches).toEqual(['a', 'bc']);
  });
});
