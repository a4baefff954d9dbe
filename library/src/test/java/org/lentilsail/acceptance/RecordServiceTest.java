package org.lentilsail.acceptance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.JsonText;
import org.lentilsail.model.record.RecordKey;
import org.lentilsail.model.record.RecordKind;
import org.lentilsail.model.time.ManualTimeSource;

/** Guards against wrong results of writes when replies are lost or operators write concurrently. */
class RecordServiceTest {
  private static final Duration LIMIT = Duration.ofSeconds(5);
  private static final RecordKey GREEN = new RecordKey(RecordKind.POOL, "green");
  private static final RecordKey WAVE = new RecordKey(RecordKind.WAVE, "kernel");

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final ScriptedPlatform platform = new ScriptedPlatform();
  private final RecordService service = new RecordService(platform, time, time::advance);
  private final List<String> notices = new ArrayList<>();
  private final OperatorCommands commands =
      new OperatorCommands(service, (vm, reason) -> notices.add(vm));

  /** Guards against a write that is lost, applied twice or reported as a conflict with itself. */
  @ParameterizedTest
  @EnumSource(ScriptedPlatform.Fault.class)
  void acceptsDespiteOneFault(final ScriptedPlatform.Fault fault) {
    pool(0, "{}", "m1");
    platform.faults.add(fault);
    platform.faults.add(fault);
    final AcceptedWrite write = pool(1, "{'minimumVms':2}", "m2");
    assertThat(write.revision(), is(2L));
    assertThat(service.read(GREEN, 2, LIMIT).document().spec(), is(json("{'minimumVms':2}")));
  }

  /** Guards against a write that is reported as a conflict after a later write is based on it. */
  @Test
  void findsItsWriteIdAfterLaterWrites() {
    pool(0, "{}", "m1");
    platform.faults.add(ScriptedPlatform.Fault.REPLY_LOST);
    platform.concurrentWrites.add(() -> {});
    platform.concurrentWrites.add(() -> pool(2, "{'minimumVms':3}", "other"));
    assertThat(pool(1, "{'minimumVms':2}", "m2").revision(), is(3L));
  }

  /** Guards against a definite result for a write whose ID is no longer stored. */
  @Test
  void outcomeIsUnknownAfterManyLaterWrites() {
    pool(0, "{}", "m1");
    platform.faults.add(ScriptedPlatform.Fault.REPLY_LOST);
    platform.concurrentWrites.add(() -> {});
    platform.concurrentWrites.add(
        () -> {
          for (int i = 0; i < 9; i++) {
            pool(2 + i, "{}", "other-" + i);
          }
        });
    final OutcomeUnknownException error =
        assertThrows(OutcomeUnknownException.class, () -> pool(1, "{'minimumVms':2}", "m2"));
    assertThat(error.writeId(), is("m2"));
    assertThat(error.expectedRevision(), is(1L));
  }

  /** Guards against an operator's edit that overwrites another one. */
  @Test
  void reportsConflictWithCurrentContent() {
    pool(0, "{}", "m1");
    platform.concurrentWrites.add(() -> pool(1, "{'minimumVms':3}", "other"));
    platform.faults.add(ScriptedPlatform.Fault.WRITE_LOST);
    final RecordConflictException error =
        assertThrows(RecordConflictException.class, () -> pool(1, "{'minimumVms':2}", "m2"));
    assertThat(error.revision(), is(2L));
    assertThat(error.current().orElseThrow().spec(), is(json("{'minimumVms':3}")));
    assertThrows(RecordConflictException.class, () -> pool(1, "{}", "m3"));
  }

  /**
   * Guards against a write with an unknown outcome that is reported as rejected, and a repeat that
   * writes twice.
   */
  @Test
  void resolvesUnknownOutcomeByTheWriteId() {
    pool(0, "{}", "m1");
    for (int i = 0; i < 100; i++) {
      platform.faults.add(
          i == 0 ? ScriptedPlatform.Fault.REPLY_LOST : ScriptedPlatform.Fault.UNAVAILABLE);
    }
    assertThrows(OutcomeUnknownException.class, () -> pool(1, "{'minimumVms':2}", "m2"));
    platform.faults.clear();
    final RecordWrite repeat = new RecordWrite(record(GREEN, "{'minimumVms':2}"), 1, "m2", true);
    assertThat(service.put(GREEN, repeat, LIMIT).revision(), is(2L));
  }

  /** Guards against an unknown outcome when it is certain that nothing was written. */
  @Test
  void reportsThatNothingWasWrittenWhileThePlatformIsDown() {
    platform.down = true;
    final LentilsailException error =
        assertThrows(LentilsailException.class, () -> pool(0, "{}", "m1"));
    assertThat(error.code(), is(ErrorCode.PLATFORM_UNAVAILABLE));
    assertThat(time.wallMillis(), is(LIMIT.toMillis()));
  }

  /** Guards against references to records that do not exist. */
  @Test
  void rejectsDeletionOfReferencedRecord() {
    pool(0, "{}", "m1");
    put(WAVE, 0, "{'pools':['green']}", "w1");
    final LentilsailException error =
        assertThrows(LentilsailException.class, () -> service.delete(GREEN, 1, LIMIT));
    assertThat(error.getMessage(), is("pool/green is used by [wave/kernel]"));
  }

  /** Guards against a deletion that is reported wrongly after a lost reply. */
  @Test
  void resolvesDeletions() {
    pool(0, "{}", "m1");
    platform.faults.add(ScriptedPlatform.Fault.REPLY_LOST);
    service.delete(GREEN, 1, LIMIT);
    assertThat(service.list(LIMIT), empty());
    pool(0, "{}", "m2");
    platform.faults.add(ScriptedPlatform.Fault.WRITE_LOST);
    platform.concurrentWrites.add(() -> {});
    platform.concurrentWrites.add(() -> pool(3, "{}", "other"));
    assertThrows(RecordConflictException.class, () -> service.delete(GREEN, 3, LIMIT));
    platform.faults.add(ScriptedPlatform.Fault.REPLY_LOST);
    platform.concurrentWrites.add(() -> {});
    platform.concurrentWrites.add(() -> pool(0, "{}", "again"));
    assertThrows(OutcomeUnknownException.class, () -> service.delete(GREEN, 4, LIMIT));
  }

  /** Guards against a pause that reverts another operator's edit. */
  @Test
  void pausesOverConcurrentEdit() {
    pool(0, "{}", "m1");
    put(WAVE, 0, "{'pools':['green']}", "w1");
    platform.concurrentWrites.add(() -> put(WAVE, 2, "{'pools':['green'],'run':2}", "other"));
    assertThat(commands.pauseWave("kernel", "p", LIMIT).changed(), is(true));
    assertThat(
        service.read(WAVE, 2, LIMIT).document().spec(),
        is(json("{'pools':['green'],'run':2,'paused':true}")));
    assertThat(commands.pauseWave("kernel", "q", LIMIT).changed(), is(false));
    commands.resumeWave("kernel", "r", LIMIT);
    assertThat(service.read(WAVE, 2, LIMIT).document().spec().get("paused").asBoolean(), is(false));
  }

  /** Guards against a resume that has no effect on a halted wave, which is not paused. */
  @Test
  void countsResumesOfWaveThatIsNotPaused() {
    pool(0, "{}", "m1");
    put(WAVE, 0, "{'pools':['green']}", "w1");
    assertThat(commands.resumeWave("kernel", "r1", LIMIT).changed(), is(true));
    platform.concurrentWrites.add(() -> put(WAVE, 3, "{'pools':['green'],'resumes':5}", "other"));
    commands.resumeWave("kernel", "r2", LIMIT);
    assertThat(
        service.read(WAVE, 2, LIMIT).document().spec(),
        is(json("{'pools':['green'],'resumes':6,'paused':false}")));
  }

  /**
   * Guards against holds that remain after the return, or a forced drain that becomes a normal one.
   */
  @Test
  void drainsAndReturns() {
    commands.drain("VM_7", false, "disk", "d1", LIMIT);
    commands.drain("VM_7", true, "fire", "d2", LIMIT);
    assertThat(commands.drain("VM_7", false, "disk", "d3", LIMIT).changed(), is(false));
    assertThat(service.list(LIMIT).get(0).document().spec().get("force").asBoolean(), is(true));
    commands.returnVm("VM_7", LIMIT);
    assertThat(service.list(LIMIT), empty());
    assertThrows(LentilsailException.class, () -> commands.returnVm("VM_7", LIMIT));
  }

  /** Guards against a forced drain that has to wait for the platform. */
  @Test
  void broadcastsForcedDrainWhileThePlatformIsDown() {
    platform.down = true;
    assertThrows(LentilsailException.class, () -> commands.drain("vm-7", false, "", "d1", LIMIT));
    assertThat(notices, empty());
    final long start = time.wallMillis();
    final LentilsailException error =
        assertThrows(
            LentilsailException.class, () -> commands.drain("vm-7", true, "", "d2", LIMIT));
    assertThat(error.code(), is(ErrorCode.PLATFORM_UNAVAILABLE));
    assertThat(notices, contains("vm-7"));
    assertThat(time.wallMillis() - start <= 3_000, is(true));
  }

  private AcceptedWrite pool(final long revision, final String spec, final String writeId) {
    return put(GREEN, revision, spec, writeId);
  }

  private AcceptedWrite put(
      final RecordKey key, final long revision, final String spec, final String writeId) {
    return service.put(key, new RecordWrite(record(key, spec), revision, writeId, false), LIMIT);
  }

  private static JsonNode record(final RecordKey key, final String spec) {
    return json(
        "{'kind':'%s','schemaVersion':2,'name':'%s','spec':%s}"
            .formatted(key.kind().text(), key.name(), spec));
  }

  private static JsonNode json(final String text) {
    return JsonText.parse(text.replace('\'', '"'), "test", ErrorCode.INVALID_INPUT);
  }
}
