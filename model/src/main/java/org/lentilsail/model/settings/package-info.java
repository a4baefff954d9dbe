/** Settings of the programs: JSON with comments, validated as a whole. */
package org.lentilsail.model.settings;
