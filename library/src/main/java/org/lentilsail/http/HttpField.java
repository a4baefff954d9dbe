package org.lentilsail.http;

/**
 * An HTTP header field.
 *
 * @param name name of the field
 * @param value value of the field
 */
public record HttpField(String name, String value) {}
